package pondridge.sidecar;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
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
 * The only caller of the module: tells it events one after the other, on the event loop, and carries out what
 * it orders. Whatever module and upstreams do, a request gets one final answer and a send one outcome.
 */
final class RequestDispatcher implements Balancer.Actions {
    /** What of a client's wait is kept for the answer's way back, beside what the loop's stalls may take. */
    private static final long ANSWER_ROOM = 10_000_000;
    /** No more than this part of a client's wait is kept back for stalls. */
    private static final int MOST_KEPT = 8;
    private static final long STATE_S = 5;
    private static final long CLOCK_READING_MS = 500;
    private static final long DAYS_BEFORE_START = 10_000;

    /**
     * A request as the frontend took it.
     *
     * @param waited nanoseconds that it has waited for its turn since it was read
     * @param waitMs how long the client waits in all, in milliseconds
     */
    record ClientRequest(int requestClass, int tenant, long key, long waited, long waitMs, long costHint,
            boolean clientRetry, HttpMethod method, String uri, HttpHeaders headers, byte[] body) {
        String id() {
            return headers.get("Req-Id");
        }

        String kindName() {
            return headers.get("Req-Kind");
        }
    }

    /** What an upstream answered. */
    record UpstreamResponse(HttpHeaders headers, byte[] body) { }

    /** Takes a request's one final answer. */
    interface ClientCallback {
        /** Whether the client is still connected. */
        boolean present();

        void served(UpstreamResponse answer);

        /** Refused: trying again is harmless, best after {@code wait} nanoseconds where that is not 0. */
        void refused(long wait);

        void failed();
    }

    private static final class Call {
        private final ClientRequest clientRequest;
        private final ClientCallback client;
        private final RequestClass kind;
        private long deadline;
        private final List<UpstreamClient.Attempt> attempts = new ArrayList<>(1);
        private final List<FailedRequestLog.AttemptLogEntry> tries = new ArrayList<>(1);
        private long takenAt;
        private int out;
        private boolean over;
        /** Whether an attempt was written whole and did not prove that it had not run. */
        private boolean mayHaveRun;

        Call(ClientRequest clientRequest, ClientCallback client, RequestClass kind) {
            this.clientRequest = clientRequest;
            this.client = client;
            this.kind = kind;
        }

        boolean mayRepeat() {
            return kind.semantics() != Semantics.ONCE || !mayHaveRun;
        }
    }

    private final EventLoop loop;
    private final Balancer rules;
    private final StallEstimator stalls = new StallEstimator();
    private final LifecycleGuard guard;
    private final List<RequestClass> classes;
    private final int tryLimit;
    private final int mostOpen;
    private final boolean automatic;
    private final UpstreamClient upstreamClient;
    private final DiscoveryClient discoveryClient;
    private final PeerMessenger peerMessenger;
    private final FailedRequestLog failedRequestLog = new FailedRequestLog(System.err);
    private final Map<Long, Call> calls = new HashMap<>();
    /** Of what the list names, by the id that the module knows it by. */
    private final Map<Long, String> upstreamNames = new HashMap<>();
    private final Map<String, Integer> zones = new HashMap<>();
    private final Map<String, Integer> kinds = new HashMap<>();
    private final ArrayDeque<LongConsumer> events = new ArrayDeque<>();
    private final StartTimeConverter startTimeConverter = new StartTimeConverter();
    /** The sidecar's clock begins far from 0, so that starts before its own have a time on it, too. */
    private final long clockOffset = TimeUnit.DAYS.toNanos(DAYS_BEFORE_START) - System.nanoTime();
    private boolean telling;
    private long lastId;

    RequestDispatcher(EventLoop loop, Config config, int mostOpen) {
        Balancer.Settings settings = config.settingsReader().settings();
        this.loop = loop;
        this.guard = new LifecycleGuard(loop);
        this.classes = settings.classes();
        this.rules = new Rules(settings, config.seed(), this);
        this.tryLimit = settings.capabilities().maxAttempts();
        this.mostOpen = mostOpen;
        this.automatic = settings.discovery() == Balancer.DiscoveryMode.AUTOMATIC;
        this.upstreamClient = new UpstreamClient(loop, config.settingsReader(), config.maxSockets() / 2);
        this.discoveryClient = new DiscoveryClient(loop, config.discovery(), config.cachedList(),
                this::listed);
        this.peerMessenger = new PeerMessenger(config.peers(), (from, message) ->
                tell(now -> rules.peerMessageReceived(now, from, message)));
        config.settingsReader().list("zones").forEach(zone -> number(zones, zone));
        config.settingsReader().list("kinds").forEach(kind -> number(kinds, kind));
    }

    /** Begins with the cached list; on the loop, like all that follows. */
    void start(DiscoveryClient.UpstreamList known) {
        readClocks();
        tell(rules::start);
        listed(ListUpdateType.CACHED, known.entries());
        if (automatic) {
            discoveryClient.keepWatchOpen();
        }
        peerMessenger.listen(loop);
        loop.scheduleWithFixedDelay(this::logState, STATE_S, STATE_S, TimeUnit.SECONDS);
        loop.scheduleWithFixedDelay(this::readClocks, CLOCK_READING_MS, CLOCK_READING_MS,
                TimeUnit.MILLISECONDS);
    }

    private void readClocks() {
        startTimeConverter.observe(now(), System.currentTimeMillis());
    }

    private void logState() {
        long now = now();
        System.err.println("state: " + held() + " requests open, " + upstreamClient.open()
                + " connections to upstreams, stalls up to " + stalls.estimateNanos(now) / 1_000_000
                + " ms; guard: " + guard + "; " + rules.describeState(now));
    }

    LifecycleGuard guard() {
        return guard;
    }

    /** Discovery is at another address from now on. */
    void discoveryMoved(InetSocketAddress address) {
        discoveryClient.changeAddress(address);
    }

    /**
     * Nanoseconds on a clock that never steps and that {@link StartTimeConverter} brings the list's times to.
     */
    private long now() {
        return System.nanoTime() + clockOffset;
    }

    /** Tells the module one event; what happens meanwhile waits, since the module is never entered twice. */
    private void tell(LongConsumer event) {
        if (!guard.checkLoop("event")) {
            loop.execute(() -> tell(event));
            return;
        }
        events.add(event);
        if (telling) {
            return;
        }
        telling = true;
        try {
            for (LongConsumer next = events.poll(); next != null; next = events.poll()) {
                try {
                    next.accept(now());
                } catch (RuntimeException e) {
                    guard.report("engine", e);
                }
            }
        } finally {
            telling = false;
        }
    }

    private static int number(Map<String, Integer> numbers, String name) {
        return numbers.computeIfAbsent(name, added -> numbers.size());
    }

    /** The same at every sidecar, so that they can speak of upstreams to each other: FNV-1a of the name. */
    private static long id(String uid) {
        long hash = 0xcbf29ce484222325L;
        for (byte each : uid.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ each & 0xff) * 0x100000001b3L;
        }
        return hash;
    }

    private void listed(ListUpdateType kind, List<DiscoveryClient.ListEntry> targets) {
        readClocks();
        tell(now -> {
            List<Upstream> entries = new ArrayList<>(targets.size());
            Set<Long> missing = new LinkedHashSet<>(
                    kind == ListUpdateType.FULL ? upstreamNames.keySet() : Set.<Long>of());
            for (DiscoveryClient.ListEntry target : targets) {
                long id = id(target.uid());
                missing.remove(id);
                upstreamNames.put(id, target.uid());
                entries.add(new Upstream(id, number(zones, target.zone()), number(kinds, target.model()),
                        target.cell(), target.state(), target.weight(),
                        startTimeConverter.startedAt(id, target.startedAtMs(), now)));
                if (target.state() == UpstreamState.GONE) {
                    missing.add(id);
                } else {
                    upstreamClient.listed(id, target.endpoint(), target.startedAtMs(),
                            target.state() == UpstreamState.READY);
                }
            }
            missing.forEach(upstreamClient::gone);
            rules.listUpdated(now, kind, entries);
            upstreamNames.keySet().removeAll(missing);
            startTimeConverter.forget(missing);
        });
    }

    /** Takes a request; returns the number under which {@link #hangup} knows it. */
    long submit(ClientRequest clientRequest, ClientCallback client) {
        if (calls.size() >= mostOpen) {
            turnedAway(clientRequest.headers());
            client.refused(0);
            return 0;
        }
        long whole = Math.max(1, clientRequest.waitMs() * 1_000_000 - ANSWER_ROOM);
        long left = whole - clientRequest.waited();
        if (left <= 0) {
            failedRequestLog.add(now(), () -> FailedRequestLog.line(clientRequest.id(),
                    clientRequest.kindName(), "refused", "WAITED_TOO_LONG", clientRequest.waited(),
                    List.of()));
            client.refused(0);
            return 0;
        }
        long id = ++lastId;
        Call call = new Call(clientRequest, client, classes.get(clientRequest.requestClass()));
        call.takenAt = now();
        calls.put(id, call);
        // The client's time has run since it sent: a stall may have kept the request unread, and another
        // may hold up the answer.
        long reserve = Math.min(2 * stalls.estimateNanos(call.takenAt), left / MOST_KEPT);
        loop.execute(() -> stalls.stallEnded(now(), now() - call.takenAt));
        // The module answers by its own deadline; this holds for whatever it may have missed.
        loop.schedule(() -> giveUp(id, call, "OVERDUE"), left - reserve + ANSWER_ROOM / 2,
                TimeUnit.NANOSECONDS);
        tell(now -> {
            call.deadline = now + left - reserve;
            // The whole time tells a client's first try from a later one, so the waiting is not taken off it.
            rules.requestArrived(now, new Request(id, clientRequest.requestClass(), clientRequest.tenant(),
                    clientRequest.key(), whole, reserve + clientRequest.waited(),
                    clientRequest.costHint(), clientRequest.clientRetry(),
                    !clientRequest.method().equals(HttpMethod.GET)));
        });
        return id;
    }

    /** The client has gone away. */
    void hangup(long id) {
        Call call = calls.get(id);
        if (call != null && !call.over) {
            endBadly(id, call, "left by its client", "GONE", () -> { });
            tell(now -> rules.clientDisconnected(now, id));
        }
    }

    /** Ends a request now: refused if nothing of it can have run, else failed. */
    void giveUp(long id) {
        Call call = calls.get(id);
        if (call != null) {
            giveUp(id, call, "GIVEN_UP");
        }
    }

    private void giveUp(long id, Call call, String reason) {
        if (call.over) {
            return;
        }
        boolean harmless = !call.mayHaveRun && call.attempts.stream()
                .allMatch(RequestDispatcher::neverWritten);
        if (harmless) {
            endBadly(id, call, "refused", reason, () -> call.client.refused(0));
        } else {
            endBadly(id, call, "failed", reason, call.client::failed);
        }
        tell(now -> rules.clientDisconnected(now, id));
    }

    private static boolean neverWritten(UpstreamClient.Attempt attempt) {
        return attempt == null || !attempt.written();
    }

    /** How many requests are held, those included that have ended while an attempt is still out. */
    int held() {
        return calls.size();
    }

    /** Whether any request still waits for its answer. */
    boolean idle() {
        return calls.values().stream().allMatch(call -> call.over);
    }

    /** The frontend or the dispatcher has no room for a request and has refused it unread. */
    void turnedAway(HttpHeaders headers) {
        failedRequestLog.add(now(), () -> FailedRequestLog.line(headers.get("Req-Id"),
                headers.get("Req-Kind"), "refused", "NO_ROOM", 0, List.of()));
    }

    private void endBadly(long id, Call call, String end, String reason, Runnable answer) {
        if (!call.over) {
            long now = now();
            failedRequestLog.add(now, () -> FailedRequestLog.line(call.clientRequest.id(),
                    call.clientRequest.kindName(), end, reason, now - call.takenAt, call.tries));
        }
        finish(id, call, answer);
    }

    private void finish(long id, Call call, Runnable answer) {
        if (!guard.mayAnswer(!call.over)) {
            return;
        }
        call.over = true;
        long waited = now() - call.takenAt + call.clientRequest.waited();
        guard.checkAnswerTime(waited - call.clientRequest.waitMs() * 1_000_000, call.clientRequest.id());
        answer.run();
        // An attempt that waits for its connection would be written for a request that has ended.
        new ArrayList<>(call.attempts).stream().filter(Objects::nonNull)
                .forEach(UpstreamClient.Attempt::withdraw);
        forget(id, call);
    }

    private void forget(long id, Call call) {
        if (call.over && call.out == 0) {
            calls.remove(id);
        }
    }

    @Override
    public void send(long request, long upstream, long timeout) {
        Call call = calls.get(request);
        long now = now();
        if (call == null) {
            guard.maySend(false, true);
            return;
        }
        int number = call.attempts.size();
        call.out++;
        call.tries.add(new FailedRequestLog.AttemptLogEntry(upstreamNames.get(upstream), now));
        boolean allowed = guard.maySend(!call.over && call.client.present(), now < call.deadline)
                && (number == 0 || guard.mayRepeat(number < tryLimit, call.mayRepeat()));
        if (!allowed) {
            call.attempts.add(null);
            ended(request, call, number, upstream, now, Outcome.NEVER_SENT, null, new float[0]);
            return;
        }
        long wait = call.deadline - now;
        if (timeout > 0) {
            wait = Math.min(wait, timeout);
        }
        call.attempts.add(null);
        call.attempts.set(number, upstreamClient.send(upstream,
                left -> message(call.clientRequest, left), wait,
                (outcome, answer, load) ->
                        ended(request, call, number, upstream, now, outcome, answer, load)));
    }

    private static FullHttpRequest message(ClientRequest clientRequest, long timeLeft) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, clientRequest.method(),
                clientRequest.uri(), Unpooled.wrappedBuffer(clientRequest.body()));
        HeaderFilter.copyEndToEnd(clientRequest.headers(), request.headers());
        request.headers().set("Req-Deadline-Ms", Math.max(1, timeLeft / 1_000_000));
        if (!clientRequest.method().equals(HttpMethod.GET) || clientRequest.body().length > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, clientRequest.body().length);
        }
        return request;
    }

    /** Told behind all that the loop reads in this turn: the client's close may be among it. */
    private void ended(long id, Call call, int number, long upstream, long sentAt, Outcome outcome,
            UpstreamResponse answer, float[] load) {
        loop.execute(() -> tell(now -> {
            if (call.tries.get(number).hasEnded()) {
                guard.report(LifecycleGuard.Violation.ENDED_TWICE, call.clientRequest.id() + " " + outcome);
                return;
            }
            call.out--;
            call.tries.get(number).ended(outcome, now);
            call.mayHaveRun |= !outcome.provesNeverRan();
            if (outcome == Outcome.OK && !call.over) {
                finish(id, call, () -> call.client.served(answer));
            }
            rules.attemptEnded(now, id, number, upstream, outcome, now - sentAt, call.over, load);
            forget(id, call);
        }));
    }

    @Override
    public void refuse(long request, long retryAfter, FailureReason reason) {
        Call call = calls.get(request);
        if (call != null) {
            endBadly(request, call, "refused", reason.name(), () -> call.client.refused(retryAfter));
        }
    }

    @Override
    public void fail(long request, FailureReason reason) {
        Call call = calls.get(request);
        if (call != null) {
            endBadly(request, call, "failed", reason.name(), call.client::failed);
        }
    }

    @Override
    public void cancel(long request, int attempt) {
        Call call = calls.get(request);
        if (call != null && attempt < call.attempts.size() && call.attempts.get(attempt) != null) {
            call.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void setTimer(long token, long at) {
        loop.schedule(() -> tell(now -> rules.timerFired(now, token)), Math.max(0, at - now()),
                TimeUnit.NANOSECONDS);
    }

    @Override
    public void probe(long upstream) {
        long sentAt = now();
        upstreamClient.probe(upstream, (outcome, answer, load) -> tell(now ->
                rules.probeResult(now, upstream, outcome, now - sentAt, load)));
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
