package pondridge.sidecar;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import pondridge.Balancer.Outcome;
import pondridge.SettingsReader;

/**
 * Sends attempts and load probes to upstreams over pooled HTTP/1.1 connections. Each attempt is written at
 * most once, on one connection, and ends with one outcome; this class never retries.
 *
 * <p>Used on the event loop only. Failures reach the caller as outcomes, never as exceptions.
 */
final class UpstreamClient {
    private static final long PROBE_TIMEOUT_NANOS = 250_000_000;
    /**
     * A connection is reused only after being idle this long. An upstream may send a second response to a
     * request some milliseconds after the first. Bytes that arrive before the next request is written close
     * the connection; those that arrive later can't be told from the response to that request.
     */
    static final long MIN_IDLE_BEFORE_REUSE_MS = 20;
    /** An attempt cancelled this shortly before its expiry counts as expired. */
    private static final long EXPIRY_TOLERANCE_NANOS = 2_000_000;
    private static final String LOAD_PATH = "/metrics/load";
    private static final float[] NO_LOAD_REPORT = {};

    /** Creates the HTTP request of an attempt when it is written, so that it states the time left then. */
    interface RequestFactory {
        /** Returns null if the request must not be written any more; the attempt then ends as never sent. */
        FullHttpRequest create(long timeLeftNanos);
    }

    /** Is notified of the end of an attempt or a load probe. */
    interface Listener {
        /**
         * Called once, possibly before {@link UpstreamClient#send} returns.
         *
         * @param response null unless the outcome is {@link Outcome#OK}; the listener releases it
         * @param loadReport empty if the upstream sent none that can be read
         */
        void onEnded(Outcome outcome, RequestDispatcher.UpstreamResponse response, float[] loadReport);
    }

    private final EventLoop loop;
    private final MemoryBudget memoryBudget;
    private final Dialer dialer;
    private final long maxIdleNanos;
    private final int maxConnections;
    private final List<String> reportFields;
    private final Map<Long, Pool> pools = new HashMap<>();
    /** The idle connections to all upstreams, the one idle for longest first. */
    private final Set<Connection> idleConnections = new LinkedHashSet<>();
    private final Future<?> idleCheck;
    private final long minIdleNanos;
    /** Connections that are open or being opened. */
    private int connectionCount;

    UpstreamClient(EventLoop loop, SettingsReader settingsReader, int maxConnections,
            MemoryBudget memoryBudget) {
        this(loop, settingsReader, maxConnections, memoryBudget, MIN_IDLE_BEFORE_REUSE_MS * 1_000_000);
    }

    /**
     * Creates a client with a minimum idle time of its own.
     *
     * @param minIdleNanos how long a connection has to be idle before it is reused; 0 suffices for
     *     upstreams that send no surplus responses
     */
    UpstreamClient(EventLoop loop, SettingsReader settingsReader, int maxConnections,
            MemoryBudget memoryBudget, long minIdleNanos) {
        this.loop = loop;
        this.memoryBudget = memoryBudget;
        this.minIdleNanos = minIdleNanos;
        int connectTimeoutMs = Math.max(1, (int) (settingsReader.number("caps.connectTimeout", 1e9) / 1e6));
        this.dialer = new Dialer(loop, connectTimeoutMs);
        // A tenth less than the upstream's idle timeout, so that no request is sent on a connection that
        // the upstream is closing.
        this.maxIdleNanos = (long) (settingsReader.number("caps.connIdle", 5e9) * 0.9);
        this.maxConnections = maxConnections;
        this.reportFields = settingsReader.list("report.fields");
        long intervalNanos = Math.max(1, maxIdleNanos / 20);
        idleCheck = loop.scheduleWithFixedDelay(this::closeExpired, intervalNanos, intervalNanos,
                TimeUnit.NANOSECONDS);
    }

    /**
     * Applies a list entry. An upstream that is not ready is removed, see {@link #removeUpstream}.
     *
     * <p>Idle connections are closed if the address has changed or the upstream has restarted: a machine that
     * failed abruptly has not closed them, and a request written to one would count as possibly processed.
     *
     * @param startedAtMs when the upstream's process started, in wall-clock time; 0 if unknown
     */
    void updateUpstream(long upstream, InetSocketAddress address, long startedAtMs, boolean ready) {
        if (!ready) {
            removeUpstream(upstream);
            return;
        }
        Pool pool = pools.computeIfAbsent(upstream, id -> new Pool());
        boolean restarted = startedAtMs != 0 && startedAtMs != pool.startedAtMs;
        if (!address.equals(pool.address) || restarted) {
            pool.address = address;
            pool.startedAtMs = startedAtMs;
            pool.closeIdle();
        }
    }

    /**
     * Forgets an upstream that drains or has left the list. Its idle connections are closed, and attempts not
     * yet written end as {@link Outcome#CONNECT_FAILED}; those already written may still get their responses.
     */
    void removeUpstream(long upstream) {
        Pool pool = pools.remove(upstream);
        if (pool == null) {
            return;
        }
        pool.ready = false;
        pool.closeIdle();
        for (Attempt attempt : List.copyOf(pool.unwritten)) {
            attempt.end(Outcome.CONNECT_FAILED);
        }
    }

    /**
     * Sends a request to an upstream as one attempt, which ends within {@code timeoutNanos}. It ends as
     * {@link Outcome#NEVER_SENT} at once if it needs a new connection and the limit on them is reached.
     */
    Attempt send(long upstream, RequestFactory requestFactory, long timeoutNanos, Listener listener) {
        Pool pool = pools.getOrDefault(upstream, new Pool());
        Attempt attempt = new Attempt(pool, requestFactory, System.nanoTime() + timeoutNanos, listener);
        attempt.timer = loop.schedule(attempt::expire, timeoutNanos, TimeUnit.NANOSECONDS);
        pool.unwritten.add(attempt);
        Connection reusable = pool.takeReusable(minIdleNanos);
        if (!pool.ready || pool.address == null) {
            attempt.end(Outcome.CONNECT_FAILED);
        } else if (reusable != null) {
            idleConnections.remove(reusable);
            reusable.write(attempt);
        } else if (connectionCount >= maxConnections && !closeLongestIdle()) {
            attempt.end(Outcome.NEVER_SENT);
        } else {
            new Connection(pool).connect(attempt);
        }
        return attempt;
    }

    /**
     * Closes the connection idle for longest, so that upstreams in excess of the allowed connections can all
     * be reached; false if none is idle.
     */
    private boolean closeLongestIdle() {
        if (idleConnections.isEmpty()) {
            return false;
        }
        idleConnections.iterator().next().close();
        return true;
    }

    /** Requests an upstream's load report; checks its health if the settings name no report fields. */
    void probe(long upstream, Listener listener) {
        String path = reportFields.isEmpty() ? "/alive" : LOAD_PATH;
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        request.headers().set(HttpHeaderNames.HOST, "app.svc");
        send(upstream, timeLeft -> request, PROBE_TIMEOUT_NANOS, listener);
    }

    /** Closes the idle connections to an upstream. */
    void closeIdle(long upstream) {
        Pool pool = pools.get(upstream);
        if (pool != null) {
            pool.closeIdle();
        }
    }

    /** The number of connections that are open or being opened. */
    int connectionCount() {
        return connectionCount;
    }

    /** Closes all idle connections and ends the regular check for expired ones. */
    void close() {
        idleCheck.cancel(false);
        pools.values().forEach(Pool::closeIdle);
    }

    /** Closes connections that have been idle for too long. */
    private void closeExpired() {
        long now = System.nanoTime();
        while (!idleConnections.isEmpty()
                && now - idleConnections.iterator().next().idleSince > maxIdleNanos) {
            idleConnections.iterator().next().close();
        }
    }

    /** The connections to one upstream. */
    private static final class Pool {
        /** Least recently used first. */
        private final ArrayDeque<Connection> idle = new ArrayDeque<>();
        /** Attempts whose request has not been written. */
        private final Set<Attempt> unwritten = new LinkedHashSet<>();
        private InetSocketAddress address;
        private long startedAtMs;
        private boolean ready = true;

        /**
         * Removes and returns the most recently used connection idle for at least a time; null if none. Those
         * on which something has arrived unread, such as a surplus response, are closed.
         */
        Connection takeReusable(long minIdleNanos) {
            long now = System.nanoTime();
            for (Iterator<Connection> iterator = idle.descendingIterator(); iterator.hasNext();) {
                Connection connection = iterator.next();
                if (now - connection.idleSince < minIdleNanos) {
                    continue;
                }
                iterator.remove();
                if (!connection.channel.hasUnreadBytes()) {
                    return connection;
                }
                connection.close();
            }
            return null;
        }

        void closeIdle() {
            while (!idle.isEmpty()) {
                idle.peekFirst().close();
            }
        }
    }

    /**
     * One attempt of a request. Until its last byte is written the upstream can't have processed it; after
     * that it may have.
     */
    final class Attempt {
        private final Pool pool;
        private final RequestFactory requestFactory;
        private final long expiresAt;
        private final Listener listener;
        private Connection connection;
        private Future<?> timer;
        private boolean written;
        private boolean ended;

        private Attempt(Pool pool, RequestFactory requestFactory, long expiresAt, Listener listener) {
            this.pool = pool;
            this.requestFactory = requestFactory;
            this.expiresAt = expiresAt;
            this.listener = listener;
        }

        /** Whether the request's last byte has been written. */
        boolean written() {
            return written;
        }

        /**
         * Ends the attempt unless its request has been written: as expired if its whole timeout has passed,
         * otherwise as never sent.
         */
        void cancelIfUnwritten() {
            if (written) {
                return;
            }
            if (expiresAt - System.nanoTime() < EXPIRY_TOLERANCE_NANOS) {
                expire();
            } else {
                end(Outcome.NEVER_SENT);
            }
        }

        /** Ends the attempt and closes its connection. */
        void cancel() {
            end(Outcome.CANCELLED);
        }

        /**
         * Ends the attempt at its timeout. If connecting failed on this machine, that is no failure of the
         * upstream, and the attempt counts as never sent.
         */
        private void expire() {
            boolean localFailure = connection != null && connection.dial != null
                    && connection.dial.failedLocally();
            end(written ? Outcome.TIMEOUT : localFailure ? Outcome.NEVER_SENT : Outcome.CONNECT_FAILED);
        }

        /** Ends the attempt because its connection could not be opened or broke. */
        private void connectionFailed() {
            end(written ? Outcome.RESET : Outcome.CONNECT_FAILED);
        }

        private void end(Outcome outcome) {
            if (ended) {
                return;
            }
            // Set before the close, which fails a pending write and would end the attempt a second time.
            ended = true;
            if (connection != null) {
                connection.close();
            }
            end(outcome, null, NO_LOAD_REPORT);
        }

        private void end(Outcome outcome, RequestDispatcher.UpstreamResponse response, float[] loadReport) {
            ended = true;
            timer.cancel(false);
            pool.unwritten.remove(this);
            listener.onEnded(outcome, response, loadReport);
        }
    }

    /** A connection, counted in {@link #connectionCount} from the start of connecting until it closes. */
    private final class Connection extends SimpleChannelInboundHandler<ReceivedResponse>
            implements Dialer.Listener {
        private final Pool pool;
        private Dialer.Dial dial;
        private RetryingSocketChannel channel;
        private final ResponseDecoder decoder = new ResponseDecoder(memoryBudget);
        /** Whether the connection is counted in {@link #connectionCount}. */
        private boolean holdsSlot;
        private boolean isLoadProbe;
        private Attempt currentAttempt;
        private long idleSince;
        /** Whether a response has been received on this connection. */
        private boolean used;
        /** Whether bytes have come that belong to no request. */
        private boolean unexpectedBytes;
        private boolean closed;
        /** Ends an attempt whose response has been read, once the read is complete. */
        private Runnable deferredEnd;

        Connection(Pool pool) {
            this.pool = pool;
        }

        void connect(Attempt attempt) {
            connectionCount++;
            holdsSlot = true;
            currentAttempt = attempt;
            attempt.connection = this;
            dial = dialer.dial(pool.address, this);
        }

        @Override
        public void onConnected(RetryingSocketChannel opened) {
            channel = opened;
            channel.closeFuture().addListener(future -> releaseSlot());
            ReadLimiter readLimiter = new ReadLimiter();
            channel.config().setRecvByteBufAllocator(readLimiter);
            channel.pipeline().addLast(new HttpRequestEncoder(), decoder,
                    new ResponseAggregator(memoryBudget, readLimiter), this);
            write(currentAttempt);
        }

        @Override
        public void onFailed(Throwable cause) {
            closed = true;
            releaseSlot();
            currentAttempt.connectionFailed();
        }

        private void releaseSlot() {
            if (holdsSlot) {
                holdsSlot = false;
                connectionCount--;
            }
        }

        void write(Attempt attempt) {
            if (attempt.ended) {
                close();
                return;
            }
            currentAttempt = attempt;
            attempt.connection = this;
            FullHttpRequest request = attempt.requestFactory.create(attempt.expiresAt - System.nanoTime());
            if (request == null) {
                attempt.end(Outcome.NEVER_SENT);
                return;
            }
            isLoadProbe = request.uri().equals(LOAD_PATH);
            if (!used) {
                decoder.expectResponse();
            }
            channel.writeAndFlush(request).addListener(done -> {
                if (done.isSuccess()) {
                    decoder.expectResponse();
                    attempt.written = true;
                    pool.unwritten.remove(attempt);
                } else {
                    attempt.connectionFailed();
                }
            });
        }

        void close() {
            closed = true;
            if (idleConnections.remove(this)) {
                pool.idle.remove(this);
            }
            if (channel != null) {
                channel.close();
            } else if (dial != null) {
                dial.cancel();
                releaseSlot();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ReceivedResponse response) {
            if (!endsAttempt(response)) {
                response.memory().close();
            }
        }

        /** Has a response end the current attempt; returns whether the response is passed to its listener. */
        private boolean endsAttempt(ReceivedResponse response) {
            Attempt attempt = currentAttempt;
            HttpResponse head = response.head();
            if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                return false;
            }
            if (attempt == null || attempt.ended || response.isMalformed()) {
                if (attempt != null) {
                    attempt.end(Outcome.ERROR);
                }
                close();
                return false;
            }
            currentAttempt = null;
            used = true;
            if (!HttpUtil.isKeepAlive(head) || !attempt.written || unexpectedBytes) {
                close();
            }
            Outcome outcome = outcome(head);
            RequestDispatcher.UpstreamResponse upstreamResponse = outcome != Outcome.OK ? null
                    : new RequestDispatcher.UpstreamResponse(head.headers(), response.body(),
                            response.memory());
            float[] loadReport = parseLoadReport(response, isLoadProbe);
            deferredEnd = () -> attempt.end(outcome, upstreamResponse, loadReport);
            return upstreamResponse != null;
        }

        /**
         * Called when everything that had arrived has been read. Only then does the connection become idle
         * and the attempt end, so that a surplus response is not taken for that of the next request.
         */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (deferredEnd != null) {
                if (!closed && pool.ready) {
                    idleSince = System.nanoTime();
                    pool.idle.addLast(this);
                    idleConnections.add(this);
                } else {
                    close();
                }
                runDeferredEnd();
            }
        }

        private void runDeferredEnd() {
            Runnable end = deferredEnd;
            deferredEnd = null;
            if (end != null) {
                end.run();
            }
        }

        /**
         * Closes the connection if bytes have come that belong to no request, at the latest after the
         * response that is being received. Such bytes may be the beginning of a surplus response, whose rest
         * would be taken from the response to the next request. On a connection that has been used before,
         * bytes that come before a request has been written count as such: they can't be told from an early
         * response.
         */
        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event != ResponseDecoder.Event.UNEXPECTED_BYTES) {
                context.fireUserEventTriggered(event);
                return;
            }
            unexpectedBytes = true;
            if (currentAttempt == null) {
                close();
            } else if (!currentAttempt.written) {
                currentAttempt.connectionFailed();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            onConnectionLost();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                System.err.println("upstream " + pool.address + ": " + cause);
            }
            onConnectionLost();
        }

        private void onConnectionLost() {
            close();
            runDeferredEnd();
            if (currentAttempt != null) {
                currentAttempt.connectionFailed();
            }
        }
    }

    private static Outcome outcome(HttpResponse response) {
        return switch (response.status().code()) {
            case 200 -> Outcome.OK;
            case 503, 504 -> "1".equals(response.headers().get("Srv-Declined")) ? Outcome.REJECTED
                    : Outcome.ERROR;
            default -> Outcome.ERROR;
        };
    }

    /** The load report in the order of the settings' fields; empty if there is none that can be read. */
    private float[] parseLoadReport(ReceivedResponse response, boolean probe) {
        String text = response.head().headers().get("Srv-Load");
        if (text == null && probe) {
            text = new String(response.body(), StandardCharsets.UTF_8);
        }
        if (text == null || reportFields.isEmpty()) {
            return NO_LOAD_REPORT;
        }
        try {
            JsonNode node = Config.JSON.readTree(text);
            float[] values = new float[reportFields.size()];
            for (int i = 0; i < values.length; i++) {
                JsonNode value = node.path(reportFields.get(i));
                if (!value.isNumber()) {
                    return NO_LOAD_REPORT;
                }
                values[i] = value.floatValue();
            }
            return values;
        } catch (JsonProcessingException e) {
            return NO_LOAD_REPORT;
        }
    }
}
