package pondridge.sidecar;

import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Reads upstreams' answers. Netty takes blanks before a header's colon for granted, and so a line that has
 * words and no colon for a header with no value; such an answer can't be read under the protocol.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    /** Called for each header line that goes on behind its name, so that one more byte is there. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        int next = start + length;
        while (line[next] == ' ' || line[next] == '\t') {
            next++;
        }
        if (line[next] != ':') {
            throw new IllegalArgumentException("no colon behind a header's name");
        }
        return super.splitHeaderName(line, start, length);
    }
}
