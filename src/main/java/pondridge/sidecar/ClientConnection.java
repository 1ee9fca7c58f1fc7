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
 * One client connection. Its requests are started one at a time, in the order in which they were read; the
 * others wait in a queue. The connection is read all the time, so that a close by the client is noticed: no
 * request is started for a client that has disconnected.
 *
 * <p>All methods run on the event loop. An exception closes the connection. Unless it is an I/O error or the
 * client has closed the connection in the middle of a request, it is also reported to the guard.
 */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpRequest>
        implements RequestDispatcher.ClientCallback {
    /** From connecting to the end of the first request, and from the first byte of a later one to its end. */
    static final long REQUEST_READ_TIMEOUT_MS = 2_200;
    /** From a response to the first byte of the next request; longer than most clients pause. */
    private static final long IDLE_TIMEOUT_MS = 5_000;
    /** Time for the event loop to read its sockets once more before a connection is closed. */
    private static final long FINAL_READ_DELAY_MS = 1;
    /** A client that has this many requests queued and sends another is disconnected. */
    private static final int MAX_QUEUED_REQUESTS = 4_096;
    /** Time kept for the way back of the response to a queued request. */
    private static final long RESPONSE_MARGIN_MS = 10;
    /**
     * Longer than a usual iteration of the event loop. If a request has been unread for less, that is not
     * deducted from its timeout.
     */
    private static final long MIN_STALL_NANOS = 10_000_000;

    /**
     * A request that waits for the ones before it.
     *
     * @param message null if there was no memory for its body: the request is refused in its turn
     * @param receivedAt the earliest time at which it may have arrived, of {@link System#nanoTime}
     */
    private record QueuedRequest(FullHttpRequest message, long receivedAt) { }

    private final Frontend frontend;
    private final RequestDispatcher dispatcher;
    private final Channel channel;
    private final RequestDecoder decoder;
    private final boolean overLimit;
    private final long acceptDelayNanos;
    private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>(1);
    /**
     * Whether a request has been started, or is about to be, and has no response yet. Stays true after the
     * last response, so that no further request is started.
     */
    private boolean requestInProgress;
    /** Whether a response has been given on this connection. */
    private boolean responded;
    /** Whether the sidecar closes the connection, at once or after its last response. */
    private boolean closing;
    private boolean disconnected;
    /** Whether {@link #readTimeout} runs for a request that has been received in part. */
    private boolean partialRequestTimed;
    private boolean firstReadComplete;
    /** Whether a request has been submitted to the dispatcher and has no response yet. */
    private boolean awaitingResponse;
    private int unwrittenResponses;
    /** How many requests have been read: the position of the latest one, counted from 1. */
    private long requestsRead;
    /** How many requests have been started: the position of the latest one. */
    private long requestsStarted;
    /** Latest position of a request that is out of time, or 0; those before it are aborted or refused. */
    private long abortBefore;
    private long idleSince;
    private boolean keepAlive = true;
    /** The dispatcher's id of the request in progress; 0 if it has none. */
    private long requestId;
    private Future<?> readTimeout;

    /**
     * @param overLimit whether this connection exceeds the limit, so that its requests are refused
     * @param acceptDelayNanos for how many nanoseconds the connection may have waited to be accepted
     */
    ClientConnection(Frontend frontend, RequestDispatcher dispatcher, Channel channel, RequestDecoder decoder,
            boolean overLimit, long acceptDelayNanos) {
        this.frontend = frontend;
        this.dispatcher = dispatcher;
        this.channel = channel;
        this.decoder = decoder;
        this.overLimit = overLimit;
        this.acceptDelayNanos = acceptDelayNanos;
    }

    /** Netty calls this once the channel is registered with the event loop. */
    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        frontend.opened(this);
        awaitRequest(REQUEST_READ_TIMEOUT_MS);
    }

    /** Whether a response has been given on this connection. */
    boolean hasResponded() {
        return responded;
    }

    /**
     * Whether a close loses nothing: no request is in progress, queued or received in part, and all responses
     * are written.
     */
    boolean isIdle() {
        return !requestInProgress && queue.isEmpty() && unwrittenResponses == 0
                && !decoder.hasPartialRequest();
    }

    /** When the connection began to wait for its next request, of {@link System#nanoTime}. */
    long idleSince() {
        return idleSince;
    }

    /** Closes the connection if it is idle. */
    void closeIfIdle() {
        if (dispatcher.guard().mayClose(isIdle())) {
            close();
        }
    }

    /**
     * Responds at once to the request that is in progress or has been received in part. The connection is
     * closed after its last response.
     */
    void finish() {
        closing = true;
        if (requestInProgress && requestId != 0) {
            dispatcher.abort(requestId);
        } else if (!requestInProgress && decoder.hasPartialRequest()) {
            requestInProgress = true;
            keepAlive = false;
            respond(Responses.refused(0));
        }
    }

    private void close() {
        closing = true;
        channel.close();
    }

    /** Closes the connection unless a request is started within this time. */
    private void awaitRequest(long timeoutMs) {
        idleSince = System.nanoTime();
        partialRequestTimed = false;
        cancelReadTimeout();
        // After a stall of the event loop a whole request may be unread; the delay lets it be read first.
        readTimeout = channel.eventLoop().schedule(() -> {
            readTimeout = channel.eventLoop().schedule(this::close, FINAL_READ_DELAY_MS,
                    TimeUnit.MILLISECONDS);
        }, timeoutMs, TimeUnit.MILLISECONDS);
    }

    private void cancelReadTimeout() {
        if (readTimeout != null) {
            readTimeout.cancel(false);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
        requestsRead++;
        // A request in the first read may have arrived before the connection was accepted.
        long now = System.nanoTime();
        long unreadNanos = frontend.loopMonitor().maxUnreadNanos(now);
        long waitedNanos = Math.max(firstReadComplete ? 0 : acceptDelayNanos,
                unreadNanos < MIN_STALL_NANOS ? 0 : unreadNanos);
        if (!requestInProgress && queue.isEmpty() && channel.isWritable()) {
            // Started once all that has arrived is read: the client's close may follow the request.
            requestInProgress = true;
            message.retain();
            channel.eventLoop().execute(() -> startAndRelease(message, waitedNanos));
        } else if (queue.size() >= MAX_QUEUED_REQUESTS) {
            close();
        } else {
            enqueue(message, now - waitedNanos);
        }
    }

    /** Queues a request, and limits the time of those before it, so that it gets a response in time. */
    private void enqueue(FullHttpRequest message, long receivedAt) {
        boolean reserved = frontend.reserveQueuedBytes(size(message));
        queue.add(new QueuedRequest(reserved ? message.retain() : null, receivedAt));
        long timeoutMs = RequestParser.timeoutMs(message);
        if (timeoutMs >= 0) {
            long position = requestsRead;
            long abortAt = receivedAt + (timeoutMs - RESPONSE_MARGIN_MS) * 1_000_000;
            channel.eventLoop().schedule(() -> abortRequestsBefore(position),
                    Math.max(0, abortAt - System.nanoTime()), TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Called when the time of the request at this position is up. Unless it has been started, those before it
     * are aborted or refused now, since its own refusal can be sent only after their responses.
     */
    private void abortRequestsBefore(long position) {
        if (!disconnected && requestsStarted < position) {
            abortBefore = Math.max(abortBefore, position);
            if (requestInProgress && requestId != 0) {
                dispatcher.abort(requestId);
            }
        }
    }

    private static int size(FullHttpRequest message) {
        return message.content().readableBytes();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        firstReadComplete = true;
        if (!requestInProgress && queue.isEmpty() && decoder.hasPartialRequest() && !partialRequestTimed
                && responded) {
            awaitRequest(REQUEST_READ_TIMEOUT_MS);
            partialRequestTimed = true;
        }
        context.fireChannelReadComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        startNext();
        context.fireChannelWritabilityChanged();
    }

    private void startNext() {
        if (requestInProgress || disconnected || !channel.isWritable()) {
            return;
        }
        QueuedRequest next = queue.poll();
        if (next == null) {
            return;
        }
        // Not called directly: a series of malformed requests would recurse once for each of them.
        requestInProgress = true;
        channel.eventLoop().execute(() -> startQueued(next));
    }

    private void startQueued(QueuedRequest next) {
        if (next.message() == null) {
            requestsStarted++;
            requestId = 0;
            if (dispatcher.guard().mayStart(isConnected())) {
                respond(Responses.refused(0));
            }
            return;
        }
        frontend.releaseQueuedBytes(size(next.message()));
        startAndRelease(next.message(), System.nanoTime() - next.receivedAt());
    }

    private void startAndRelease(FullHttpRequest message, long waitedNanos) {
        try {
            start(message, waitedNanos);
        } finally {
            message.release();
        }
    }

    private void start(FullHttpRequest message, long waitedNanos) {
        requestInProgress = true;
        requestId = 0;
        requestsStarted++;
        cancelReadTimeout();
        if (!dispatcher.guard().mayStart(isConnected())) {
            return;
        }
        keepAlive = HttpUtil.isKeepAlive(message);
        if (message.decoderResult().isFailure()) {
            respondToDecodeFailure(message.decoderResult().cause());
            return;
        }
        String path = RequestParser.path(message);
        if (overLimit || frontend.finishing() || requestsStarted < abortBefore) {
            // Closing without a response could lose further requests that the client has already written.
            dispatcher.refusedForCapacity(message.headers());
            respond(Responses.refused(0));
        } else if (path.equals("/up")) {
            boolean up = frontend.up();
            respond(Responses.plainText(up ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    ""));
        } else if (path.equals("/api") || path.startsWith("/api/")) {
            submit(message, waitedNanos);
        } else {
            respond(Responses.plainText(HttpResponseStatus.NOT_FOUND, "no such path"));
        }
    }

    private void respondToDecodeFailure(Throwable cause) {
        if (cause instanceof TooLongHttpContentException) {
            respond(Responses.plainText(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large"));
        } else {
            keepAlive = false;
            respond(Responses.plainText(HttpResponseStatus.BAD_REQUEST, "malformed request"));
        }
    }

    private void submit(FullHttpRequest message, long waitedNanos) {
        RequestDispatcher.ClientRequest clientRequest;
        try {
            clientRequest = frontend.parser().parse(message, waitedNanos);
        } catch (IllegalArgumentException e) {
            respond(Responses.plainText(HttpResponseStatus.BAD_REQUEST, e.getMessage()));
            return;
        }
        // The response may come within this call, and then another request may already have been started.
        long submitted = requestsStarted;
        awaitingResponse = true;
        long id = dispatcher.submit(clientRequest, this);
        if (awaitingResponse && requestsStarted == submitted) {
            requestId = id;
        }
    }

    @Override
    public boolean isConnected() {
        return !disconnected && channel.isActive();
    }

    @Override
    public void onServed(RequestDispatcher.UpstreamResponse response) {
        respond(Responses.served(response));
    }

    @Override
    public void onRefused(long retryAfterNanos) {
        respond(Responses.refused(retryAfterNanos));
    }

    @Override
    public void onFailed() {
        respond(Responses.plainText(HttpResponseStatus.BAD_GATEWAY, "failed"));
    }

    /**
     * Writes a response. Only the last one announces the close of the connection: the requests that were read
     * before it get their responses, too.
     */
    private void respond(FullHttpResponse response) {
        boolean last = queue.isEmpty() && !(decoder.hasPartialRequest() && keepAlive);
        boolean keepOpen = keepAlive && !(last && (frontend.draining() || closing || overLimit));
        HttpUtil.setContentLength(response, response.content().readableBytes());
        if (!keepOpen) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        responded = true;
        awaitingResponse = false;
        requestId = 0;
        awaitRequest(IDLE_TIMEOUT_MS);
        unwrittenResponses++;
        ChannelFuture written = channel.writeAndFlush(response);
        if (!keepOpen) {
            closing = true;
            channel.config().setAutoRead(false);
            written.addListener(done -> close());
            return;
        }
        requestInProgress = false;
        written.addListener(done -> unwrittenResponses--);
        startNext();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        disconnected = true;
        frontend.closed(this);
        cancelReadTimeout();
        for (QueuedRequest queued : queue) {
            if (queued.message() != null) {
                frontend.releaseQueuedBytes(size(queued.message()));
                queued.message().release();
            }
        }
        queue.clear();
        if (requestId != 0) {
            if (closing) {
                dispatcher.guard().report(LifecycleGuard.Violation.CLOSED_UNANSWERED, "request " + requestId);
            }
            dispatcher.clientDisconnected(requestId);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        boolean closedMidRequest = cause instanceof PrematureChannelClosureException;
        if (!closedMidRequest && !(cause instanceof IOException)) {
            dispatcher.guard().report("frontend", cause);
        }
        channel.close();
    }
}
