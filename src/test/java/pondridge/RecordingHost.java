package pondridge;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import pondridge.Balancer.Actions;
import pondridge.Balancer.Capabilities;
import pondridge.Balancer.DiscoveryMode;
import pondridge.Balancer.FailureReason;
import pondridge.Balancer.KeyScope;
import pondridge.Balancer.Limits;
import pondridge.Balancer.ListUpdateType;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.Request;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.Semantics;
import pondridge.Balancer.Settings;
import pondridge.Balancer.Tenant;
import pondridge.Balancer.Upstream;
import pondridge.Balancer.UpstreamState;
import pondridge.Balancer.WeightMode;

/**
 * A host for tests of {@link Rules}: it simulates the clock, fires the timers that are due and records every
 * action of the balancer. All times are in nanoseconds. Single-threaded.
 */
final class RecordingHost implements Actions {
    /** One millisecond in nanoseconds. */
    static final long MS = 1_000_000;
    static final RequestClass REPEATABLE = requestClass(Semantics.REPEATABLE, KeyScope.ALL);
    static final RequestClass ONCE = requestClass(Semantics.ONCE, KeyScope.ALL);
    static final RequestClass BY_KEY_CELL = requestClass(Semantics.BY_KEY, KeyScope.CELL);
    static final RequestClass BY_KEY_ALL = requestClass(Semantics.BY_KEY, KeyScope.ALL);

    /** An attempt that the balancer has ordered; {@code number} counts the request's attempts from 0. */
    record Attempt(long request, int number, long upstream, long sentAt) { }

    /** A timer that the balancer has set and that is due at {@code at}. */
    record Timer(long at, long token) { }

    /** Every action of the balancer in order: a short name and arguments, separated by spaces. */
    final List<String> log = new ArrayList<>();
    final List<Attempt> attempts = new ArrayList<>();
    /** The balancer's refusals and failures, as "refuse" or "fail" and the id of the request. */
    final List<String> finalResponses = new ArrayList<>();
    /** Messages that the balancer sent to other sidecars. */
    final List<byte[]> peerMessages = new ArrayList<>();
    final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    final Rules rules;
    long now = 1_000 * MS;
    /** How many times the balancer has subscribed to list changes. */
    int subscriptions;

    RecordingHost(Settings settings, long seed) {
        rules = new Rules(settings, seed, this);
        rules.start(now);
    }

    /** A class with a latency target of 500 ms, a deadline of 1 s and keys that are kept for 700 ms. */
    static RequestClass requestClass(Semantics semantics, KeyScope scope) {
        return new RequestClass(500 * MS, 0, 1_000 * MS, 1, 0, semantics, scope, 700 * MS, false);
    }

    /** Settings of one of three sidecars, without load probes, peer messages and subscription. */
    static Settings settings(RequestClass... classes) {
        return settings(DiscoveryMode.AUTOMATIC, classes);
    }

    static Settings settings(DiscoveryMode discovery, RequestClass... classes) {
        return new Settings(0, 3, 0, 5 * MS, discovery, WeightMode.SILENT, List.of(classes),
                List.<Tenant>of(), new Capabilities(true, false, false, true, true, 3, 1_000 * MS, 250 * MS),
                new Limits(20 * MS, 10_000 * MS, 250 * MS, 0.3, 8_000 * MS, 3, 1_500 * MS),
                List.of(), Balancer.Costs.NONE, false, 1);
    }

    /** Settings under which the list has to be subscribed to, and need be renewed every 60 s only. */
    static Settings rareRenewalSettings(RequestClass... classes) {
        Settings base = settings(classes);
        return new Settings(0, 3, 0, 5 * MS, DiscoveryMode.SUBSCRIBE, WeightMode.SILENT, base.classes(),
                List.of(), base.capabilities(),
                new Limits(20 * MS, 60_000 * MS, 250 * MS, 0.3, 8_000 * MS, 3, 1_500 * MS),
                List.of(), Balancer.Costs.NONE, false, 1);
    }

    /** Settings of the only sidecar that uses the upstreams. */
    static Settings singleSidecarSettings(RequestClass... classes) {
        Settings base = settings(classes);
        return new Settings(0, 1, 0, 5 * MS, DiscoveryMode.AUTOMATIC, WeightMode.SILENT, base.classes(),
                List.of(), base.capabilities(), base.limits(), List.of(), Balancer.Costs.NONE, false, 1);
    }

    /** Settings of one of 100 sidecars that may send each other messages, at a cost. */
    static Settings peerMessageSettings(RequestClass... classes) {
        Settings base = settings(classes);
        return new Settings(0, 100, 0, 5 * MS, DiscoveryMode.AUTOMATIC, WeightMode.SILENT, base.classes(),
                List.of(), new Capabilities(true, false, true, true, true, 3, 1_000 * MS, 250 * MS),
                base.limits(), List.of(), new Balancer.Costs(0, 0.04), false, 1);
    }

    /**
     * Settings under which load probes are cheap, load reports contain the requests in flight ("rif") and a
     * request has no two attempts in flight.
     */
    static Settings loadProbeSettings(int sidecarCount, RequestClass... classes) {
        Settings base = settings(classes);
        return new Settings(0, sidecarCount, 0, MS, DiscoveryMode.AUTOMATIC, WeightMode.SILENT,
                base.classes(), List.of(),
                new Capabilities(true, true, false, false, true, 3, 1_000 * MS, 250 * MS),
                base.limits(), List.of("q", "rif"), new Balancer.Costs(0.002, 0), false, 1);
    }

    static Upstream upstream(long id) {
        return upstream(id, UpstreamState.READY, 0);
    }

    /** An upstream of zone {@code id % 2} and cell {@code id / 3}; {@code startedAt} 0 means long ago. */
    static Upstream upstream(long id, UpstreamState state, long startedAt) {
        return new Upstream(id, (int) (id % 2), 0, (int) (id / 3), state, 1, startedAt);
    }

    /** Delivers a list with upstreams 0 to count - 1, all ready and started long ago. */
    RecordingHost withUpstreams(int count) {
        List<Upstream> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(upstream(i));
        }
        rules.listUpdated(now, ListUpdateType.CACHED, list);
        return this;
    }

    /** Lets a request arrive, 1 s before its deadline. */
    void request(long id, int classIndex) {
        request(id, classIndex, 1_000 * MS);
    }

    void request(long id, int classIndex, long timeLeft) {
        rules.requestArrived(now, new Request(id, classIndex, 0, 0, timeLeft, 0, 0, false, false));
    }

    /** Ends an attempt now; OK finishes its request. */
    void endAttempt(Attempt attempt, Outcome outcome) {
        rules.attemptEnded(now, attempt.request, attempt.number, attempt.upstream, outcome,
                now - attempt.sentAt, outcome == Outcome.OK, new float[0]);
    }

    /** Moves the clock forward and fires each timer at the time it is due. */
    void advance(long duration) {
        long end = now + duration;
        while (!timers.isEmpty() && timers.peek().at <= end) {
            Timer timer = timers.poll();
            now = Math.max(now, timer.at);
            rules.timerFired(now, timer.token);
        }
        now = end;
    }

    /** Serves the requests with ids from {@code from} to {@code to - 1} one after the other. */
    void serveSequentially(long from, long to, int classIndex, long latency) {
        for (long id = from; id < to; id++) {
            request(id, classIndex);
            Attempt attempt = lastAttempt();
            advance(latency);
            endAttempt(attempt, Outcome.OK);
        }
    }

    /**
     * Serves bursts of 4, 8, 16 and so on requests, so that the balancer allows many attempts in flight
     * afterwards. Ids begin at {@code from}.
     */
    void serveGrowingBursts(long from, int rounds, int classIndex, long latency) {
        int ended = attempts.size();
        for (int round = 0; round < rounds; round++) {
            burst(from, from + (4L << round), classIndex);
            from += 4L << round;
            while (ended < attempts.size()) {
                advance(latency);
                int sent = attempts.size();
                List.copyOf(attempts.subList(ended, sent))
                        .forEach(attempt -> endAttempt(attempt, Outcome.OK));
                ended = sent;
            }
        }
    }

    /** Lets requests with ids from {@code from} to {@code to - 1} arrive at the same time. */
    void burst(long from, long to, int classIndex) {
        for (long id = from; id < to; id++) {
            request(id, classIndex);
        }
    }

    /** Number of attempts sent to an upstream, not counting the first {@code skipped} attempts to any. */
    long attemptsTo(long upstream, int skipped) {
        return attempts.stream().skip(skipped).filter(a -> a.upstream == upstream).count();
    }

    Attempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    List<Attempt> attemptsOf(long request) {
        return attempts.stream().filter(a -> a.request == request).toList();
    }

    @Override
    public void send(long request, long upstream, long timeout) {
        log.add("send " + request + " " + upstream + " " + timeout);
        attempts.add(new Attempt(request, attemptsOf(request).size(), upstream, now));
    }

    @Override
    public void refuse(long request, long retryAfter, FailureReason reason) {
        log.add("refuse " + request + " " + retryAfter);
        finalResponses.add("refuse " + request);
    }

    @Override
    public void fail(long request, FailureReason reason) {
        log.add("fail " + request);
        finalResponses.add("fail " + request);
    }

    @Override
    public void cancel(long request, int attempt) {
        log.add("cancel " + request + " " + attempt);
    }

    @Override
    public void setTimer(long token, long at) {
        log.add("timer " + token + " " + at);
        timers.add(new Timer(at, token));
    }

    @Override
    public void probe(long upstream) {
        log.add("probe " + upstream);
    }

    @Override
    public void closeIdleConnections(long upstream) {
        log.add("close " + upstream);
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        log.add("peerMessage " + peer);
        peerMessages.add(message);
    }

    @Override
    public void log(String line) {
        log.add("log " + line);
    }

    @Override
    public void subscribe(boolean on) {
        log.add("subscribe " + on);
        subscriptions++;
    }

    @Override
    public void fetchList() {
        log.add("fetch");
    }
}
