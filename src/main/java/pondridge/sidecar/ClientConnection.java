package pondridge.sidecar;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * One client connection. Requests are answered one after the other in the order in which they were read. The
 * connection is read at all times, so that its end is seen: nothing is begun for a client that has gone.
 */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpRequest>
        implements RequestDispatcher.ClientCallback {
    /** From connecting to a whole request, and from a request's first bytes to its last. */
    static final long FIRST_REQUEST_MS = 2_200;
    /** From an answer to the next request; longer than most clients pause. */
    private static final long NEXT_REQUEST_MS = 5_000;
    /** Time for one more look at the sockets before a connection is given up. */
    private static final long LAST_LOOK_MS = 1;
    /** A client that reads no answers and still sends so many requests is given up. */
    private static final int MOST_QUEUED = 4_096;
    /** Kept of a queued request's time for its answer's way back. */
    private static final long ANSWER_ROOM_MS = 10;

    /** The loop's usual turns; what lay unread for no longer has its whole time. */
    private static final long SHORT_NS = 10_000_000;

    /** A request that waits for its turn; without its message where it will be refused then. */
    private record Queued(FullHttpRequest message, long readAt) { }

    private final Frontend frontend;
    private final RequestDispatcher dispatcher;
    private final Channel channel;
    private final RequestDecoder decoder;
    private final boolean crowded;
    private final long unaccepted;
    private final ArrayDeque<Queued> queue = new ArrayDeque<>(1);
    private boolean busy;
    private boolean answered;
    private boolean ending;
    private boolean gone;
    private boolean timesPartialRequest;
    private boolean readBefore;
    private boolean awaitsAnswer;
    private int unwritten;
    private long read;
    private long taken;
    private long rushedUntil;
    private long restingSince;
    private boolean keepAlive = true;
    private long request;
    private Future<?> patience;

    /**
     * @param crowded whether this connection is over the number that may stay: its request is refused
     * @param unaccepted for how many nanoseconds the connection may have waited to be accepted
     */
    ClientConnection(Frontend frontend, RequestDispatcher dispatcher, Channel channel, RequestDecoder decoder,
            boolean crowded, long unaccepted) {
        this.frontend = frontend;
        this.dispatcher = dispatcher;
        this.channel = channel;
        this.decoder = decoder;
        this.crowded = crowded;
        this.unaccepted = unaccepted;
    }

    /** Netty calls this once the channel is registered with the loop. */
    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        frontend.opened(this);
        awaitRequest(FIRST_REQUEST_MS);
    }

    /** Whether an answer has been given on this connection. */
    boolean answered() {
        return answered;
    }

    /** Whether nothing is lost by a close: no request is held, none is arriving, no answer is on its way. */
    boolean resting() {
        return !busy && queue.isEmpty() && unwritten == 0 && !decoder.hasPartialRequest();
    }

    /** Since when the connection waits for a request, of {@link System#nanoTime}. */
    long restingSince() {
        return restingSince;
    }

    /** Closes the connection if it rests. */
    void dismiss() {
        if (dispatcher.guard().mayClose(resting())) {
            close();
        }
    }

    /** Answers at once what is held or arriving, and ends the connection. */
    void finish() {
        ending = true;
        if (busy && request != 0) {
            dispatcher.abort(request);
        } else if (!busy && decoder.hasPartialRequest()) {
            busy = true;
            keepAlive = false;
            answer(Responses.refused(0));
        }
    }

    private void close() {
        ending = true;
        channel.close();
    }

    private void awaitRequest(long limitMs) {
        restingSince = System.nanoTime();
        timesPartialRequest = false;
        cancelPatience();
        // After a stall of the loop a whole request may lie unread: the sockets get one more look.
        patience = channel.eventLoop().schedule(() -> {
            patience = channel.eventLoop().schedule(this::close, LAST_LOOK_MS, TimeUnit.MILLISECONDS);
        }, limitMs, TimeUnit.MILLISECONDS);
    }

    private void cancelPatience() {
        if (patience != null) {
            patience.cancel(false);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
        read++;
        // Whatever the first read brings may have been there while the connection was not accepted.
        long now = System.nanoTime();
        long unread = frontend.loopMonitor().maxUnreadNanos(now);
        long waited = Math.max(readBefore ? 0 : unaccepted, unread < SHORT_NS ? 0 : unread);
        if (!busy && queue.isEmpty() && channel.isWritable()) {
            // Taken once all that is there has been read: the client's close may lie behind the request.
            busy = true;
            message.retain();
            channel.eventLoop().execute(() -> takeAndRelease(message, waited));
        } else if (queue.size() >= MOST_QUEUED) {
            close();
        } else {
            enqueue(message, now - waited);
        }
    }

    /** A request whose message finds no room is refused in its turn. */
    private void enqueue(FullHttpRequest message, long readAt) {
        boolean kept = frontend.reserveQueuedBytes(size(message));
        queue.add(new Queued(kept ? message.retain() : null, readAt));
        long deadlineMs = RequestParser.deadlineMs(message);
        if (deadlineMs >= 0) {
            long position = read;
            long rushAt = readAt + (deadlineMs - ANSWER_ROOM_MS) * 1_000_000;
            channel.eventLoop().schedule(() -> rush(position), Math.max(0, rushAt - System.nanoTime()),
                    TimeUnit.NANOSECONDS);
        }
    }

    /** The time of the request at this position is over: those before it are given up to answer it. */
    private void rush(long position) {
        if (!gone && taken < position) {
            rushedUntil = Math.max(rushedUntil, position);
            if (busy && request != 0) {
                dispatcher.abort(request);
            }
        }
    }

    private static int size(FullHttpRequest message) {
        return message.content().readableBytes();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        readBefore = true;
        if (!busy && queue.isEmpty() && decoder.hasPartialRequest() && !timesPartialRequest && answered) {
            awaitRequest(FIRST_REQUEST_MS);
            timesPartialRequest = true;
        }
        context.fireChannelReadComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        takeNext();
        context.fireChannelWritabilityChanged();
    }

    private void takeNext() {
        if (busy || gone || !channel.isWritable()) {
            return;
        }
        Queued next = queue.poll();
        if (next == null) {
            return;
        }
        // Not from within this call: a row of malformed requests would nest as deep as it is long.
        busy = true;
        channel.eventLoop().execute(() -> takeQueued(next));
    }

    private void takeQueued(Queued next) {
        if (next.message() == null) {
            taken++;
            request = 0;
            if (dispatcher.guard().mayStart(isConnected())) {
                answer(Responses.refused(0));
            }
            return;
        }
        frontend.releaseQueuedBytes(size(next.message()));
        takeAndRelease(next.message(), System.nanoTime() - next.readAt());
    }

    private void takeAndRelease(FullHttpRequest message, long waited) {
        try {
            take(message, waited);
        } finally {
            message.release();
        }
    }

    private void take(FullHttpRequest message, long waited) {
        busy = true;
        request = 0;
        taken++;
        cancelPatience();
        if (!dispatcher.guard().mayStart(isConnected())) {
            return;
        }
        keepAlive = HttpUtil.isKeepAlive(message);
        if (message.decoderResult().isFailure()) {
            answerUndecoded(message.decoderResult().cause());
            return;
        }
        String path = RequestParser.path(message);
        if (crowded || frontend.finishing() || taken < rushedUntil) {
            // A bare close would lose what the client has already written.
            dispatcher.refusedForCapacity(message.headers());
            answer(Responses.refused(0));
        } else if (path.equals("/up")) {
            boolean up = frontend.up();
            answer(Responses.plainText(up ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    ""));
        } else if (path.equals("/api") || path.startsWith("/api/")) {
            submit(message, waited);
        } else {
            answer(Responses.plainText(HttpResponseStatus.NOT_FOUND, "no such path"));
        }
    }

    private void answerUndecoded(Throwable cause) {
        if (cause instanceof TooLongHttpContentException) {
            answer(Responses.plainText(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large"));
        } else {
            keepAlive = false;
            answer(Responses.plainText(HttpResponseStatus.BAD_REQUEST, "malformed request"));
        }
    }

    private void submit(FullHttpRequest message, long waited) {
        RequestDispatcher.ClientRequest clientRequest;
        try {
            clientRequest = frontend.parser().parse(message, waited);
        } catch (IllegalArgumentException e) {
            answer(Responses.plainText(HttpResponseStatus.BAD_REQUEST, e.getMessage()));
            return;
        }
        // The answer may come within this call; then the connection may already hold another request.
        long submitted = taken;
        awaitsAnswer = true;
        long id = dispatcher.submit(clientRequest, this);
        if (awaitsAnswer && taken == submitted) {
            request = id;
        }
    }

    @Override
    public boolean isConnected() {
        return !gone && channel.isActive();
    }

    @Override
    public void onServed(RequestDispatcher.UpstreamResponse answer) {
        answer(Responses.served(answer));
    }

    @Override
    public void onRefused(long wait) {
        answer(Responses.refused(wait));
    }

    @Override
    public void onFailed() {
        answer(Responses.plainText(HttpResponseStatus.BAD_GATEWAY, "failed"));
    }

    /** The close is announced only on the last answer: what was read before it is answered, too. */
    private void answer(FullHttpResponse response) {
        boolean last = queue.isEmpty() && !(decoder.hasPartialRequest() && keepAlive);
        boolean keep = keepAlive && !(last && (frontend.draining() || ending || crowded));
        HttpUtil.setContentLength(response, response.content().readableBytes());
        if (!keep) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        answered = true;
        awaitsAnswer = false;
        request = 0;
        awaitRequest(NEXT_REQUEST_MS);
        unwritten++;
        ChannelFuture written = channel.writeAndFlush(response);
        if (!keep) {
            ending = true;
            channel.config().setAutoRead(false);
            written.addListener(done -> close());
            return;
        }
        busy = false;
        written.addListener(done -> unwritten--);
        takeNext();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        gone = true;
        frontend.closed(this);
        cancelPatience();
        for (Queued each : queue) {
            if (each.message() != null) {
                frontend.releaseQueuedBytes(size(each.message()));
                each.message().release();
            }
        }
        queue.clear();
        if (request != 0) {
            if (ending) {
                dispatcher.guard().report(LifecycleGuard.Violation.CLOSED_UNANSWERED, "request " + request);
            }
            dispatcher.clientDisconnected(request);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        boolean leftMidway = cause instanceof PrematureChannelClosureException;
        if (!leftMidway && !(cause instanceof IOException)) {
            dispatcher.guard().report("frontend", cause);
        }
        channel.close();
    }
}
