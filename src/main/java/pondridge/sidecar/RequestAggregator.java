package pondridge.sidecar;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import pondridge.sidecar.ReceivedRequest.Failure;

/**
 * Aggregates the parts of a request into a {@link ReceivedRequest}, on the event loop. A request that can't
 * be received is passed on, too, so that its error response is sent in its turn. What the body holds follows
 * what has been received of it; once there is no room, the rest of the body is read and dropped.
 */
final class RequestAggregator extends SimpleChannelInboundHandler<HttpObject> {
    private final MemoryBudget budget;
    /** The request being received; null between requests, and while the rest of a failed one is dropped. */
    private HttpRequest head;
    private MemoryBudget.Account memory;
    /** Null once there was no room for the body. */
    private BodyBuffer body;

    RequestAggregator(MemoryBudget budget) {
        this.budget = budget;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (part instanceof HttpRequest request) {
            begin(context, request);
        }
        if (part instanceof HttpContent content && head != null) {
            addContent(context, content);
        }
    }

    private void begin(ChannelHandlerContext context, HttpRequest request) {
        head = request;
        memory = request instanceof RequestDecoder.Head counted ? counted.memory() : budget.openRequest();
        if (request.decoderResult().isFailure()) {
            fail(context, decodeFailure(request.decoderResult().cause()));
            return;
        }
        long declaredLength = HttpUtil.getContentLength(request, -1L);
        if (declaredLength > BodyBuffer.MAX_BODY_BYTES) {
            fail(context, Failure.BODY_TOO_LARGE);
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        } else if (request.headers().contains(HttpHeaderNames.EXPECT)
                && request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            fail(context, Failure.EXPECTATION_UNSUPPORTED);
            return;
        }
        body = new BodyBuffer(declaredLength < 0 ? BodyBuffer.MAX_BODY_BYTES : (int) declaredLength);
    }

    private static Failure decodeFailure(Throwable cause) {
        return cause instanceof MemoryExhaustedException ? Failure.NO_MEMORY_FOR_HEAD : Failure.MALFORMED;
    }

    private void addContent(ChannelHandlerContext context, HttpContent content) {
        if (content.decoderResult().isFailure()) {
            fail(context, decodeFailure(content.decoderResult().cause()));
            return;
        }
        if (body != null && !append(context, content)) {
            return;
        }
        if (content instanceof LastHttpContent) {
            end(context);
        }
    }

    /** Adds to the body, if there is room; returns false if the request has failed. */
    private boolean append(ChannelHandlerContext context, HttpContent content) {
        int count = content.content().readableBytes();
        if (body.length() + count > BodyBuffer.MAX_BODY_BYTES) {
            fail(context, Failure.BODY_TOO_LARGE);
            return false;
        }
        if (memory.tryGrow(body.capacityAfter(count) - body.capacity())) {
            body.append(content.content());
        } else {
            dropBody();
        }
        return true;
    }

    private void dropBody() {
        if (body != null) {
            memory.shrink(body.capacity());
            body = null;
        }
    }

    private void end(ChannelHandlerContext context) {
        if (body == null) {
            fail(context, Failure.NO_MEMORY_FOR_BODY);
            return;
        }
        memory.shrink(body.capacity() - body.length());
        pass(context, body.toArray(), Failure.NONE);
    }

    private void fail(ChannelHandlerContext context, Failure failure) {
        dropBody();
        pass(context, new byte[0], failure);
    }

    private void pass(ChannelHandlerContext context, byte[] bytes, Failure failure) {
        ReceivedRequest request = new ReceivedRequest(head, bytes, memory, failure);
        head = null;
        body = null;
        context.fireChannelRead(request);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        if (head != null) {
            memory.close();
            head = null;
        }
    }
}
