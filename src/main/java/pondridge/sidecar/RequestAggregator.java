package pondridge.sidecar;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.TooLongHttpContentException;

/**
 * Aggregates the parts of a request into one message, on the event loop. A request whose body is too large is
 * passed on as one that failed to decode, so that its error response is sent in its turn: Netty's own
 * implementation would send it before the responses to earlier requests.
 */
final class RequestAggregator extends HttpObjectAggregator {
    private static final int MAX_BODY_BYTES = 1 << 16;

    RequestAggregator() {
        super(MAX_BODY_BYTES);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        HttpRequest head = (HttpRequest) oversized;
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri());
        request.headers().set(head.headers());
        request.setDecoderResult(DecoderResult.failure(new TooLongHttpContentException("body too large")));
        context.fireChannelRead(request);
    }
}
