package pondridge.sidecar;

import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Decodes upstreams' responses. Netty ends a header's name at the first blank, and therefore accepts a line
 * without a colon as a header without a value. This decoder rejects such a response as malformed.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    /** Called for each header line that continues after the name, so that there is at least one more byte. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        int next = start + length;
        while (line[next] == ' ' || line[next] == '\t') {
            next++;
        }
        if (line[next] != ':') {
            throw new IllegalArgumentException("no colon after the header name");
        }
        return super.splitHeaderName(line, start, length);
    }
}
