package pondridge.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes the requests of one client connection, on the event loop, and tracks whether a request has been
 * received in part.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** Whether the first line of a request has been decoded and its end has not. */
    private boolean insideMessage;

    /** Whether some bytes of a request have been received, but not all. */
    boolean hasPartialRequest() {
        return insideMessage || actualReadableBytes() > 0;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        insideMessage = true;
        return super.createMessage(initialLine);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) throws Exception {
        super.decode(context, bytes, out);
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            insideMessage = false;
        }
    }
}
