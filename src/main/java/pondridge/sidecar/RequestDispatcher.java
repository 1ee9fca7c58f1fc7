package pondridge.sidecar;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import pondridge.Balancer;
import pondridge.Balancer.FailureReason;
import pondridge.Balancer.ListUpdateType;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.Request;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.Semantics;
import pondridge.Balancer.Upstream;
import pondridge.Balancer.UpstreamState;
import pondridge.Rules;

/**
 * Connects the balancer with the network: delivers events to it one at a time and carries out its actions.
 * The frontend submits requests here; attempts go out through {@link UpstreamClient}.
 *
 * <p>All methods run on the event loop. Whatever the balancer and the upstreams do, each request gets one
 * final response, and each send is reported to the balancer with one outcome. As in {@link Balancer}, times
 * and durations are in nanoseconds unless their name says otherwise.
 */
final class RequestDispatcher implements Balancer.Actions {
    /** Time kept for the response's way back to the client, in addition to the reserve for stalls. */
    private static final long RESPONSE_MARGIN_NANOS = 10_000_000;
    /** The reserve for stalls is at most the client's remaining time divided by this. */
    private static final int STALL_RESERVE_DIVISOR = 8;
    private static final long STATE_LOG_INTERVAL_S = 5;
    private static final long CLOCK_READING_INTERVAL_MS = 500;
    private static final long CLOCK_START_DAYS = 10_000;

    /**
     * A client's request as parsed by {@link RequestParser}.
     *
     * @param key a hash of the last segment of the path
     * @param waitedNanos how long the request may have waited in this sidecar before it is submitted:
     *     unaccepted, unread, or behind earlier requests on its connection
     * @param timeoutMs how long the client waits for the response, counted from its send
     * @param costHint estimated work in nanoseconds; 0 if unknown
     * @param memory what the request holds
     */
    record ClientRequest(int classIndex, int tenant, long key, long waitedNanos, long timeoutMs,
            long costHint, boolean clientRetry, HttpMethod method, String uri, HttpHeaders headers,
            byte[] body, MemoryBudget.Account memory) {
        String id() {
            return headers.get("Req-Id");
        }

        String className() {
            return headers.get("Req-Kind");
        }
    }

    /**
     * An upstream's response with status 200. Who receives it releases it after use.
     *
     * @param memory what the response holds
     */
    record UpstreamResponse(HttpHeaders headers, byte[] body, MemoryBudget.Account memory) {
        /** Releases the memory; may be called more than once. */
        void release() {
            memory.close();
        }

        /** Releases a response, if there is one. */
        static void releaseIfPresent(UpstreamResponse response) {
            if (response != null) {
                response.release();
            }
        }
    }

    /**
     * The client of one or more requests. For each request at most one of the {@code on} methods is called,
     * with the final response, and none after {@link #clientDisconnected}. All are called on the event loop.
     */
    interface ClientCallback {
        /** Whether the client is still connected. */
        boolean isConnected();

        /** An upstream has served the request. The client releases the response. */
        void onServed(UpstreamResponse response);

        /**
         * The request was refused: a client retry is safe.
         *
         * @param retryAfterNanos after which time the client should retry; 0 if the response gives no time
         */
        void onRefused(long retryAfterNanos);

        /** The request failed and may have been processed. */
        void onFailed();
    }

    /** A submitted request, kept until it is finished and none of its attempts is in flight. */
    private static final class PendingRequest {
        private final ClientRequest clientRequest;
        private final ClientCallback client;
        private final RequestClass requestClass;
        /** On the clock of {@link #now}. */
        private long deadline;
        /** By attempt index; null where the guard blocked the send or while the send is under way. */
        private final List<UpstreamClient.Attempt> attempts = new ArrayList<>(1);
        private final List<FailedRequestLog.AttemptLogEntry> attemptLog = new ArrayList<>(1);
        private long submittedAt;
        private Future<?> overdueTimer;
        private int attemptsInFlight;
        /** Whether the final response has been given or the client has disconnected. */
        private boolean finished;
        /** Whether an attempt ended with an outcome that does not rule out that the upstream ran it. */
        private boolean mayHaveRun;
        /** When upstreams forget the request's key, so that it must not be written again. */
        private long keyForgottenAt = Long.MAX_VALUE;

        PendingRequest(ClientRequest clientRequest, ClientCallback client, RequestClass requestClass) {
            this.clientRequest = clientRequest;
            this.client = client;
            this.requestClass = requestClass;
        }

        /** Whether the class permits the request to run any number of times. */
        boolean mayRunTwice() {
            return requestClass.semantics() == Semantics.REPEATABLE;
        }

        /** Whether a further attempt is safe: the class permits repeats, or no attempt can have run. */
        boolean isSafeToRetry() {
            return requestClass.semantics() != Semantics.ONCE || !mayHaveRun;
        }

        /** Records the outcome of an attempt; times as in {@link RequestDispatcher#now}. */
        private void attemptEnded(Outcome outcome, long sentAt) {
            if (outcome.provesNeverRan()) {
                return;
            }
            mayHaveRun = true;
            if (requestClass.semantics() == Semantics.BY_KEY) {
                keyForgottenAt = Math.min(keyForgottenAt, sentAt + requestClass.keyTtl());
            }
        }
    }

    private final EventLoop loop;
    private final MemoryBudget memoryBudget;
    private final ReplaceableTimer balancerTimer;
    private final Balancer balancer;
    private final StallEstimator stallEstimator = new StallEstimator();
    private final LifecycleGuard guard;
    private final List<RequestClass> classes;
    private final int maxAttempts;
    private final int maxPendingRequests;
    private final boolean automaticDiscovery;
    private final UpstreamClient upstreamClient;
    private final DiscoveryClient discoveryClient;
    private final PeerMessenger peerMessenger;
    private final FailedRequestLog failedRequestLog = new FailedRequestLog(System.err);
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
    private final RequestIdRegistry requestIds;
    /** Names (uids) of the listed upstreams, by the id under which the balancer knows them. */
    private final Map<Long, String> upstreamNames = new HashMap<>();
    private final Map<String, Integer> zoneIndices = new HashMap<>();
    private final Map<String, Integer> modelIndices = new HashMap<>();
    private final ArrayDeque<LongConsumer> events = new ArrayDeque<>();
    private final StartTimeConverter startTimeConverter = new StartTimeConverter();
    /**
     * Makes the sidecar's clock start far above 0, so that upstreams that started before the sidecar have a
     * positive start time. A start time of 0 means "long ago".
     */
    private final long clockOffset = TimeUnit.DAYS.toNanos(CLOCK_START_DAYS) - System.nanoTime();
    /** Called when the balancer has got its first list; null after that. */
    private Runnable onFirstList;
    /** Whether {@link #deliver} is running. */
    private boolean deliveringEvents;
    private long lastRequestId;

    RequestDispatcher(EventLoop loop, Config config, int maxPendingRequests) {
        Balancer.Settings settings = config.settingsReader().settings();
        this.loop = loop;
        this.memoryBudget = MemoryBudget.of(Runtime.getRuntime().maxMemory(), config.maxMemoryMb(), loop);
        this.balancerTimer = new ReplaceableTimer(loop);
        this.guard = new LifecycleGuard(loop);
        this.classes = settings.classes();
        this.balancer = new Rules(settings, config.seed(), this);
        this.requestIds = new RequestIdRegistry(
                classes.stream().mapToLong(RequestClass::deadline).max().orElse(0));
        this.maxAttempts = settings.capabilities().maxAttempts();
        this.maxPendingRequests = maxPendingRequests;
        this.automaticDiscovery = settings.discovery() == Balancer.DiscoveryMode.AUTOMATIC;
        this.upstreamClient = new UpstreamClient(loop, config.settingsReader(), config.maxSockets() / 2,
                memoryBudget);
        this.discoveryClient = new DiscoveryClient(loop, config.discovery(), config.cachedList(),
                this::onListUpdate);
        this.peerMessenger = new PeerMessenger(config.peers(), (from, message) ->
                deliver(now -> balancer.peerMessageReceived(now, from, message)));
        config.settingsReader().list("zones").forEach(zone -> indexOf(zoneIndices, zone));
        config.settingsReader().list("kinds").forEach(model -> indexOf(modelIndices, model));
    }

    /**
     * Starts the balancer, discovery and peer messages. The balancer has no upstreams, and so refuses all
     * requests, until discovery has responded: an upstream of the cached list may have drained since.
     *
     * @param onList called once, when the balancer has got its first list
     */
    void start(Runnable onList) {
        this.onFirstList = onList;
        readClocks();
        deliver(balancer::start);
        if (automaticDiscovery) {
            discoveryClient.keepWatchOpen();
        }
        peerMessenger.listen(loop);
        loop.scheduleWithFixedDelay(this::logState, STATE_LOG_INTERVAL_S, STATE_LOG_INTERVAL_S,
                TimeUnit.SECONDS);
        loop.scheduleWithFixedDelay(this::readClocks, CLOCK_READING_INTERVAL_MS, CLOCK_READING_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    private void readClocks() {
        startTimeConverter.observe(now(), System.currentTimeMillis());
    }

    private void logState() {
        long now = now();
        System.err.println("state: " + pendingRequestCount() + " requests open, list " + discoveryClient
                + ", " + upstreamClient.connectionCount() + " connections to upstreams, stalls up to "
                + stallEstimator.estimateNanos(now) / 1_000_000 + " ms; memory: "
                + ProcessMemory.describe() + ", " + memoryBudget + "; guard: "
                + guard + "; " + balancer.describeState(now));
    }

    LifecycleGuard guard() {
        return guard;
    }

    /** Counts what all connections, requests and responses hold. */
    MemoryBudget memoryBudget() {
        return memoryBudget;
    }

    /** Switches to another address of the discovery service, after a reload of the configuration. */
    void setDiscoveryAddress(InetSocketAddress address) {
        discoveryClient.changeAddress(address);
    }

    /**
     * Nanoseconds on a monotonic clock, the one that the balancer uses. {@link StartTimeConverter} converts
     * the list's wall-clock times to it.
     */
    private long now() {
        return System.nanoTime() + clockOffset;
    }

    /**
     * Delivers an event to the balancer. An event that occurs during another one's delivery is queued until
     * that delivery has ended, since the balancer is not reentrant.
     */
    private void deliver(LongConsumer event) {
        if (!guard.checkLoop("event")) {
            loop.execute(() -> deliver(event));
            return;
        }
        events.add(event);
        if (deliveringEvents) {
            return;
        }
        deliveringEvents = true;
        try {
            for (LongConsumer next = events.poll(); next != null; next = events.poll()) {
                try {
                    next.accept(now());
                } catch (RuntimeException e) {
                    guard.report("dispatcher", e);
                }
            }
        } finally {
            deliveringEvents = false;
        }
    }

    /** The index of a name; a name not seen before gets the next free one. */
    private static int indexOf(Map<String, Integer> indices, String name) {
        return indices.computeIfAbsent(name, added -> indices.size());
    }

    /**
     * The id of an upstream: the FNV-1a hash of its uid, so that all sidecars use the same ids in their peer
     * messages.
     */
    private static long upstreamId(String uid) {
        long hash = 0xcbf29ce484222325L;
        for (byte b : uid.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ b & 0xff) * 0x100000001b3L;
        }
        return hash;
    }

    /** Passes a list update to the upstream client and the balancer. */
    private void onListUpdate(ListUpdateType updateType, List<DiscoveryClient.ListEntry> entries) {
        readClocks();
        deliver(now -> {
            List<Upstream> upstreams = new ArrayList<>(entries.size());
            Set<Long> removed = new LinkedHashSet<>(
                    updateType == ListUpdateType.FULL ? upstreamNames.keySet() : Set.<Long>of());
            for (DiscoveryClient.ListEntry entry : entries) {
                long id = upstreamId(entry.uid());
                removed.remove(id);
                upstreamNames.put(id, entry.uid());
                upstreams.add(new Upstream(id, indexOf(zoneIndices, entry.zone()),
                        indexOf(modelIndices, entry.model()), entry.cell(), entry.state(), entry.weight(),
                        startTimeConverter.startedAt(id, entry.startedAtMs(), now)));
                if (entry.state() == UpstreamState.GONE) {
                    removed.add(id);
                } else {
                    upstreamClient.updateUpstream(id, entry.endpoint(), entry.startedAtMs(),
                            entry.state() == UpstreamState.READY);
                }
            }
            removed.forEach(upstreamClient::removeUpstream);
            balancer.listUpdated(now, updateType, upstreams);
            upstreamNames.keySet().removeAll(removed);
            startTimeConverter.forget(removed);
            if (updateType != ListUpdateType.CACHED && updateType != ListUpdateType.FAILED) {
                reportFirstList();
            }
        });
    }

    private void reportFirstList() {
        Runnable listener = onFirstList;
        onFirstList = null;
        if (listener != null) {
            listener.run();
        }
    }

    /**
     * Submits a request. The client may get its final response before this method returns. The request's
     * memory is released when the request has ended and none of its attempts is in flight.
     *
     * @return the request's id for {@link #clientDisconnected} and {@link #abort}; 0 if it has its response
     */
    long submit(ClientRequest clientRequest, ClientCallback client) {
        if (pendingRequests.size() >= maxPendingRequests) {
            clientRequest.memory().close();
            refusedForCapacity(clientRequest.headers());
            client.onRefused(0);
            return 0;
        }
        long clientTimeout = Math.max(1, clientRequest.timeoutMs() * 1_000_000 - RESPONSE_MARGIN_NANOS);
        long timeLeft = clientTimeout - clientRequest.waitedNanos();
        if (timeLeft <= 0) {
            clientRequest.memory().close();
            failedRequestLog.add(now(), () -> FailedRequestLog.line(clientRequest.id(),
                    clientRequest.className(), "refused", "WAITED_TOO_LONG", clientRequest.waitedNanos(),
                    List.of()));
            client.onRefused(0);
            return 0;
        }
        PendingRequest pending = new PendingRequest(clientRequest, client,
                classes.get(clientRequest.classIndex()));
        pending.submittedAt = now();
        if (!pending.mayRunTwice() && !requestIds.begin(clientRequest.id(), pending.submittedAt)) {
            failAsRepeated(clientRequest, client);
            return 0;
        }
        long id = ++lastRequestId;
        pendingRequests.put(id, pending);
        // Reserves time for two stalls, since the client's timeout runs from its send: one may have left the
        // request unread, another may delay the response.
        long reserve = Math.min(2 * stallEstimator.estimateNanos(pending.submittedAt),
                timeLeft / STALL_RESERVE_DIVISOR);
        loop.execute(() -> stallEstimator.stallEnded(now(), now() - pending.submittedAt));
        // The balancer responds by the deadline. This timer finishes requests to which it has not responded.
        pending.overdueTimer = loop.schedule(() -> abort(id, pending, "OVERDUE"),
                timeLeft - reserve + RESPONSE_MARGIN_NANOS / 2, TimeUnit.NANOSECONDS);
        deliver(now -> {
            pending.deadline = now + timeLeft - reserve;
            // The balancer identifies client retries by a time left that differs from the usual one of the
            // class. The time already waited is therefore not subtracted from it, but added to the reserve.
            balancer.requestArrived(now, new Request(id, clientRequest.classIndex(), clientRequest.tenant(),
                    clientRequest.key(), clientTimeout, reserve + clientRequest.waitedNanos(),
                    clientRequest.costHint(), clientRequest.clientRetry(),
                    !clientRequest.method().equals(HttpMethod.GET)));
        });
        return id;
    }

    /** Fails a request whose id is that of one that is open or may have run: it must not run again. */
    private void failAsRepeated(ClientRequest clientRequest, ClientCallback client) {
        clientRequest.memory().close();
        failedRequestLog.add(now(), () -> FailedRequestLog.line(clientRequest.id(),
                clientRequest.className(), "failed", "REPEATED_ID", 0, List.of()));
        client.onFailed();
    }

    /** The client has disconnected: finishes its request without a response. */
    void clientDisconnected(long id) {
        PendingRequest pending = pendingRequests.get(id);
        if (pending != null && !pending.finished) {
            finishAndLog(id, pending, "left by its client", "GONE", () -> { });
            deliver(now -> balancer.clientDisconnected(now, id));
        }
    }

    /** Finishes a request at once: refuses it if no upstream can have processed it, otherwise fails it. */
    void abort(long id) {
        PendingRequest pending = pendingRequests.get(id);
        if (pending != null) {
            abort(id, pending, "GIVEN_UP");
        }
    }

    private void abort(long id, PendingRequest pending, String reason) {
        if (pending.finished) {
            return;
        }
        boolean notProcessed = !pending.mayHaveRun && pending.attempts.stream()
                .allMatch(RequestDispatcher::neverWritten);
        if (notProcessed) {
            finishAndLog(id, pending, "refused", reason, () -> pending.client.onRefused(0));
        } else {
            finishAndLog(id, pending, "failed", reason, pending.client::onFailed);
        }
        // Makes the balancer drop the request.
        deliver(now -> balancer.clientDisconnected(now, id));
    }

    private static boolean neverWritten(UpstreamClient.Attempt attempt) {
        return attempt == null || !attempt.written();
    }

    /** The number of requests kept, including finished ones with an attempt still in flight. */
    int pendingRequestCount() {
        return pendingRequests.size();
    }

    /** Whether no request waits for its final response. */
    boolean allRequestsFinished() {
        return pendingRequests.values().stream().allMatch(pending -> pending.finished);
    }

    /** Logs a request that the frontend or the dispatcher refused for lack of capacity. */
    void refusedForCapacity(HttpHeaders headers) {
        failedRequestLog.add(now(), () -> FailedRequestLog.line(headers.get("Req-Id"),
                headers.get("Req-Kind"), "refused", "NO_ROOM", 0, List.of()));
    }

    /** Finishes a request that was not served, and logs it. */
    private void finishAndLog(long id, PendingRequest pending, String result, String reason,
            Runnable response) {
        if (!pending.finished) {
            long now = now();
            failedRequestLog.add(now, () -> FailedRequestLog.line(pending.clientRequest.id(),
                    pending.clientRequest.className(), result, reason, now - pending.submittedAt,
                    pending.attemptLog));
        }
        finish(id, pending, response);
    }

    /** Gives the final response, unless the request is finished already. */
    private void finish(long id, PendingRequest pending, Runnable response) {
        if (!guard.mayRespond(!pending.finished)) {
            return;
        }
        pending.finished = true;
        pending.overdueTimer.cancel(false);
        long elapsed = now() - pending.submittedAt + pending.clientRequest.waitedNanos();
        guard.checkResponseTime(elapsed - pending.clientRequest.timeoutMs() * 1_000_000,
                pending.clientRequest.id());
        response.run();
        // Attempts that still wait for a connection must not be sent for a finished request.
        new ArrayList<>(pending.attempts).stream().filter(Objects::nonNull)
                .forEach(UpstreamClient.Attempt::cancelIfUnwritten);
        removeIfComplete(id, pending);
    }

    private void removeIfComplete(long id, PendingRequest pending) {
        if (pending.finished && pending.attemptsInFlight == 0 && pendingRequests.remove(id) != null) {
            if (!pending.mayRunTwice()) {
                requestIds.end(pending.clientRequest.id(), pending.mayHaveRun, now());
            }
            pending.clientRequest.memory().close();
        }
    }

    @Override
    public void send(long request, long upstream, long timeout) {
        PendingRequest pending = pendingRequests.get(request);
        long now = now();
        if (pending == null) {
            guard.maySend(false, true);
            return;
        }
        int attemptIndex = pending.attempts.size();
        pending.attemptsInFlight++;
        pending.attemptLog.add(new FailedRequestLog.AttemptLogEntry(upstreamNames.get(upstream), now));
        boolean allowed = guard.maySend(!pending.finished && pending.client.isConnected(),
                        now < pending.deadline)
                && (attemptIndex == 0
                        || guard.mayRetry(attemptIndex < maxAttempts, pending.isSafeToRetry()));
        if (!allowed) {
            pending.attempts.add(null);
            onAttemptEnded(request, pending, attemptIndex, upstream, now, Outcome.NEVER_SENT, null,
                    new float[0]);
            return;
        }
        long attemptTimeout = pending.deadline - now;
        if (timeout > 0) {
            attemptTimeout = Math.min(attemptTimeout, timeout);
        }
        pending.attempts.add(null);
        pending.attempts.set(attemptIndex, upstreamClient.send(upstream,
                timeLeft -> now() >= pending.keyForgottenAt ? null
                        : toUpstreamRequest(pending.clientRequest, timeLeft), attemptTimeout,
                (outcome, response, loadReport) ->
                        onAttemptEnded(request, pending, attemptIndex, upstream, now, outcome, response,
                                loadReport)));
    }

    private static FullHttpRequest toUpstreamRequest(ClientRequest clientRequest, long timeLeft) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, clientRequest.method(),
                clientRequest.uri(), Unpooled.wrappedBuffer(clientRequest.body()));
        HeaderFilter.copyEndToEnd(clientRequest.headers(), request.headers());
        request.headers().set("Req-Deadline-Ms", Math.max(1, timeLeft / 1_000_000));
        if (!clientRequest.method().equals(HttpMethod.GET) || clientRequest.body().length > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, clientRequest.body().length);
        }
        return request;
    }

    /**
     * Handles the end of an attempt after everything else that the loop reads in this iteration, since that
     * may include the client's disconnect.
     */
    private void onAttemptEnded(long id, PendingRequest pending, int attemptIndex, long upstream,
            long sentAt, Outcome outcome, UpstreamResponse response, float[] loadReport) {
        loop.execute(() -> deliver(now -> {
            if (pending.attemptLog.get(attemptIndex).hasEnded()) {
                guard.report(LifecycleGuard.Violation.ENDED_TWICE,
                        pending.clientRequest.id() + " " + outcome);
                UpstreamResponse.releaseIfPresent(response);
                return;
            }
            pending.attemptsInFlight--;
            pending.attemptLog.get(attemptIndex).ended(outcome, now);
            pending.attemptEnded(outcome, sentAt);
            if (outcome == Outcome.OK && !pending.finished) {
                finish(id, pending, () -> pending.client.onServed(response));
            } else {
                UpstreamResponse.releaseIfPresent(response);
            }
            balancer.attemptEnded(now, id, attemptIndex, upstream, outcome, now - sentAt, pending.finished,
                    loadReport);
            removeIfComplete(id, pending);
        }));
    }

    @Override
    public void refuse(long request, long retryAfter, FailureReason reason) {
        PendingRequest pending = pendingRequests.get(request);
        if (pending != null) {
            finishAndLog(request, pending, "refused", reason.name(),
                    () -> pending.client.onRefused(retryAfter));
        }
    }

    @Override
    public void fail(long request, FailureReason reason) {
        PendingRequest pending = pendingRequests.get(request);
        if (pending != null) {
            finishAndLog(request, pending, "failed", reason.name(), pending.client::onFailed);
        }
    }

    @Override
    public void cancel(long request, int attempt) {
        PendingRequest pending = pendingRequests.get(request);
        if (pending != null && attempt < pending.attempts.size() && pending.attempts.get(attempt) != null) {
            pending.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void setTimer(long token, long at) {
        balancerTimer.set(() -> deliver(now -> balancer.timerFired(now, token)), Math.max(0, at - now()),
                TimeUnit.NANOSECONDS);
    }

    @Override
    public void probe(long upstream) {
        long sentAt = now();
        upstreamClient.probe(upstream, (outcome, response, loadReport) -> {
            UpstreamResponse.releaseIfPresent(response);
            deliver(now -> balancer.probeResult(now, upstream, outcome, now - sentAt, loadReport));
        });
    }

    @Override
    public void closeIdleConnections(long upstream) {
        upstreamClient.closeIdle(upstream);
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        peerMessenger.send(peer, message);
    }

    @Override
    public void log(String line) {
        System.err.println("module: " + line);
    }

    @Override
    public void subscribe(boolean on) {
        discoveryClient.watch(on);
    }

    @Override
    public void fetchList() {
        discoveryClient.fetch();
    }
}
