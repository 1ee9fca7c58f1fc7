package pondridge.sidecar;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * One client connection. Its requests are started one at a time, in the order in which they were read; the
 * others wait in a queue. The connection is read all the time, so that a close by the client is noticed: no
 * request is started for a client that has disconnected.
 *
 * <p>All methods run on the event loop. An exception closes the connection. Unless it is an I/O error, it is
 * also reported to the guard.
 */
final class ClientConnection extends SimpleChannelInboundHandler<ReceivedRequest>
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

    private final Frontend frontend;
    private final RequestDispatcher dispatcher;
    private final RetryingSocketChannel channel;
    private final RequestDecoder decoder;
    private final boolean overLimit;
    private final long acceptDelayNanos;
    private final RequestQueue queue;
    private final ReadBarrier readBarrier;
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
    /** Null until the channel is registered with the event loop. */
    private ReplaceableTimer readTimeout;

    /**
     * @param overLimit whether this connection exceeds the limit, so that its requests are refused
     * @param acceptDelayNanos for how many nanoseconds the connection may have waited to be accepted
     */
    ClientConnection(Frontend frontend, RequestDispatcher dispatcher, RetryingSocketChannel channel,
            RequestDecoder decoder, boolean overLimit, long acceptDelayNanos) {
        this.frontend = frontend;
        this.dispatcher = dispatcher;
        this.channel = channel;
        this.decoder = decoder;
        this.overLimit = overLimit;
        this.acceptDelayNanos = acceptDelayNanos;
        this.queue = new RequestQueue(channel, this::abortRequestsBefore);
        this.readBarrier = new ReadBarrier(channel);
    }

    /** Netty calls this once the channel is registered with the event loop. */
    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        readTimeout = new ReplaceableTimer(channel.eventLoop());
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
        // After a stall of the event loop a whole request may be unread; the delay lets it be read first.
        readTimeout.set(() -> readTimeout.set(this::close, FINAL_READ_DELAY_MS, TimeUnit.MILLISECONDS),
                timeoutMs, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ReceivedRequest request) {
        requestsRead++;
        // A request in the first read may have arrived before the connection was accepted.
        long now = System.nanoTime();
        long unreadNanos = frontend.loopMonitor().maxUnreadNanos(now) + channel.lastDelayNanos();
        long waitedNanos = Math.max(firstReadComplete ? 0 : acceptDelayNanos,
                unreadNanos < MIN_STALL_NANOS ? 0 : unreadNanos);
        long receivedAt = now - waitedNanos;
        if (disconnected) {
            request.memory().close();
        } else if (!requestInProgress && queue.isEmpty() && channel.isWritable()) {
            // Started once all that has arrived is read: the client's close may follow the request.
            requestInProgress = true;
            readTimeout.cancel();
            readBarrier.runWhenRead(waitedNanos >= MIN_STALL_NANOS, () -> start(request, receivedAt));
        } else if (queue.size() >= MAX_QUEUED_REQUESTS) {
            request.memory().close();
            close();
        } else {
            enqueue(request, receivedAt);
        }
    }

    /** Queues a request, and limits the time of those before it, so that it gets a response in time. */
    private void enqueue(ReceivedRequest request, long receivedAt) {
        long timeoutMs = RequestParser.timeoutMs(request.head());
        long abortAt = timeoutMs < 0 ? Long.MAX_VALUE
                : receivedAt + (timeoutMs - RESPONSE_MARGIN_MS) * 1_000_000;
        if (!queue.add(request, requestsRead, receivedAt, abortAt)) {
            dispatcher.refusedForCapacity(request.head().headers());
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
        RequestQueue.Entry next = queue.poll();
        if (next == null) {
            return;
        }
        // Not called directly: a series of malformed requests would recurse once for each of them.
        requestInProgress = true;
        readBarrier.runWhenRead(false, () -> startQueued(next));
    }

    private void startQueued(RequestQueue.Entry next) {
        if (next.request() == null) {
            requestsStarted++;
            requestId = 0;
            if (dispatcher.guard().mayStart(isConnected())) {
                respond(Responses.refused(0));
            }
            return;
        }
        start(next.request(), next.receivedAt());
    }

    /**
     * Starts a request; its memory is released unless the dispatcher has taken it over.
     *
     * @param receivedAt when the request may have arrived, of {@link System#nanoTime}
     */
    private void start(ReceivedRequest request, long receivedAt) {
        requestInProgress = true;
        requestId = 0;
        requestsStarted++;
        readTimeout.cancel();
        if (!dispatcher.guard().mayStart(isConnected()) || !respondOrSubmit(request, receivedAt)) {
            request.memory().close();
        }
    }

    /** Responds to a request or submits it to the dispatcher; returns whether it has been submitted. */
    private boolean respondOrSubmit(ReceivedRequest request, long receivedAt) {
        HttpRequest head = request.head();
        keepAlive = request.canBeFollowed() && HttpUtil.isKeepAlive(head);
        if (request.failure() != ReceivedRequest.Failure.NONE) {
            respondToFailure(request);
            return false;
        }
        String path = RequestParser.path(head);
        if (overLimit || frontend.finishing() || requestsStarted < abortBefore) {
            // Closing without a response could lose further requests that the client has already written.
            dispatcher.refusedForCapacity(head.headers());
            respond(Responses.refused(0));
        } else if (path.equals("/up")) {
            boolean up = frontend.up();
            respond(Responses.plainText(up ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    ""));
        } else if (path.equals("/api") || path.startsWith("/api/")) {
            return submit(request, receivedAt);
        } else {
            respond(Responses.plainText(HttpResponseStatus.NOT_FOUND, "no such path"));
        }
        return false;
    }

    private void respondToFailure(ReceivedRequest request) {
        if (request.lackedMemory()) {
            dispatcher.refusedForCapacity(request.head().headers());
        }
        respond(switch (request.failure()) {
            case NO_MEMORY_FOR_HEAD, NO_MEMORY_FOR_BODY -> Responses.refused(0);
            case BODY_TOO_LARGE ->
                    Responses.plainText(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large");
            case EXPECTATION_UNSUPPORTED ->
                    Responses.plainText(HttpResponseStatus.EXPECTATION_FAILED, "unsupported expectation");
            default -> Responses.plainText(HttpResponseStatus.BAD_REQUEST, "malformed request");
        });
    }

    /** Submits a request to the dispatcher; returns false if it is invalid and has been responded to. */
    private boolean submit(ReceivedRequest request, long receivedAt) {
        RequestDispatcher.ClientRequest clientRequest;
        try {
            clientRequest = frontend.parser().parse(request, System.nanoTime() - receivedAt);
        } catch (InvalidRequestException e) {
            respond(Responses.plainText(HttpResponseStatus.BAD_REQUEST, e.getMessage()));
            return false;
        }
        // The response may come within this call, and then another request may already have been started.
        long submitted = requestsStarted;
        awaitingResponse = true;
        long id = dispatcher.submit(clientRequest, this);
        if (awaitingResponse && requestsStarted == submitted) {
            requestId = id;
        }
        return true;
    }

    @Override
    public boolean isConnected() {
        return !disconnected && channel.isActive();
    }

    @Override
    public void onServed(RequestDispatcher.UpstreamResponse response) {
        respond(Responses.served(response)).addListener(written -> response.release());
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
     *
     * @return completes when the response has been written or can't be
     */
    private ChannelFuture respond(FullHttpResponse response) {
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
            return written;
        }
        requestInProgress = false;
        written.addListener(done -> unwrittenResponses--);
        startNext();
        return written;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        disconnected = true;
        frontend.closed(this);
        readTimeout.cancel();
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
        if (!(cause instanceof IOException)) {
            dispatcher.guard().report("frontend", cause);
        }
        channel.close();
    }
}
