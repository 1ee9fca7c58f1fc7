package pondridge.sidecar;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.BooleanSupplier;

/**
 * Aggregates the parts of a response into a {@link ReceivedResponse}, on the event loop. Room for the whole
 * body is reserved when the head has been received. Without room the connection is not read until there is
 * some; the attempt's timeout goes on meanwhile. Until then reads are short, so that the responses that wait
 * don't hold the room that they wait for.
 */
final class ResponseAggregator extends SimpleChannelInboundHandler<HttpObject> {
    private final MemoryBudget budget;
    private final ReadLimiter readLimiter;
    /** Parts that were in the socket's last read, while the response waits for room. */
    private final Queue<HttpObject> unprocessed = new ArrayDeque<>();
    private final MemoryBudget.Account unprocessedMemory;
    private ChannelHandlerContext context;
    /** The response being received; null between responses. */
    private HttpResponse head;
    private MemoryBudget.Account memory;
    private BodyBuffer body;
    private int reservedBytes;
    /** Called when there may be room; null unless the response waits for it. */
    private BooleanSupplier waiter;

    ResponseAggregator(MemoryBudget budget, ReadLimiter readLimiter) {
        this.budget = budget;
        this.readLimiter = readLimiter;
        this.unprocessedMemory = budget.openResponse();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ignored, HttpObject part) {
        if (waiter != null) {
            keepForLater(part);
        } else {
            process(part);
        }
    }

    private void keepForLater(HttpObject part) {
        stopReading();
        unprocessed.add(ReferenceCountUtil.retain(part));
        unprocessedMemory.grow(size(part));
    }

    private static int size(HttpObject part) {
        return part instanceof HttpContent content ? content.content().readableBytes() : 0;
    }

    private void process(HttpObject part) {
        if (part instanceof HttpResponse response) {
            begin(response);
        }
        if (part instanceof HttpContent content && head != null) {
            addContent(content);
        }
    }

    private void begin(HttpResponse response) {
        head = response;
        memory = response instanceof ResponseDecoder.Head counted ? counted.memory()
                : budget.openResponse();
        body = new BodyBuffer(0);
        if (response.decoderResult().isFailure()) {
            pass();
            return;
        }
        long length = maxLength(response);
        if (length > BodyBuffer.MAX_BODY_BYTES) {
            reject("response body of " + length + " bytes");
        }
        body = new BodyBuffer((int) length);
        if (!reserve((int) length)) {
            waiter = () -> resume((int) length);
            stopReading();
            budget.awaitRoom(waiter);
        }
    }

    private void reject(String reason) {
        memory.close();
        head = null;
        throw new TooLongHttpContentException(reason);
    }

    /** The length of a response's body in bytes, or the greatest allowed one if its head doesn't say it. */
    private static long maxLength(HttpResponse response) {
        boolean hasBody = response.status().codeClass() != HttpStatusClass.INFORMATIONAL;
        return hasBody ? HttpUtil.getContentLength(response, (long) BodyBuffer.MAX_BODY_BYTES) : 0;
    }

    private boolean reserve(int bytes) {
        boolean reserved = memory.tryGrow(bytes);
        reservedBytes = reserved ? bytes : 0;
        if (reserved) {
            readLimiter.lift();
        }
        return reserved;
    }

    private void stopReading() {
        context.channel().config().setAutoRead(false);
    }

    /** Goes on reading if there is room for the response now; returns whether there is. */
    private boolean resume(int bytes) {
        if (!reserve(bytes)) {
            return false;
        }
        waiter = null;
        while (waiter == null && !unprocessed.isEmpty()) {
            processUnprocessed(unprocessed.remove());
        }
        if (waiter == null) {
            context.fireChannelReadComplete();
            context.channel().config().setAutoRead(true);
        }
        return true;
    }

    private void processUnprocessed(HttpObject part) {
        try {
            unprocessedMemory.shrink(size(part));
            process(part);
        } catch (RuntimeException e) {
            context.fireExceptionCaught(e);
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void addContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            head.setDecoderResult(content.decoderResult());
            pass();
            return;
        }
        if (body.length() + size(content) > BodyBuffer.MAX_BODY_BYTES) {
            reject("response body too large");
        }
        body.append(content.content());
        if (content instanceof LastHttpContent) {
            pass();
        }
    }

    private void pass() {
        readLimiter.limit();
        memory.shrink(reservedBytes - body.length());
        reservedBytes = 0;
        ReceivedResponse response = new ReceivedResponse(head, body.toArray(), memory);
        head = null;
        context.fireChannelRead(response);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext removed) {
        if (waiter != null) {
            budget.stopWaiting(waiter);
            waiter = null;
        }
        unprocessed.forEach(ReferenceCountUtil::release);
        unprocessed.clear();
        unprocessedMemory.close();
        if (head != null) {
            memory.close();
            head = null;
        }
    }
}
