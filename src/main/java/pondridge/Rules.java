package pondridge;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The load balancer of one sidecar. {@link Balancer} describes its events, settings and actions.
 *
 * <p>{@link RoundRobin#pick} selects the upstream of an attempt: it cycles through all ready upstreams in a
 * random order and takes, of two neighbours, the one with fewer attempts of this sidecar in flight.
 * {@link UpstreamRegistry} (slow start), {@link OutlierDetector}, {@link AdmissionController} and
 * {@link LoadProber} limit which upstreams are eligible and which requests are sent, {@link PeerWarnings}
 * exchanges evidence with other sidecars, and {@link RequestTracker} keeps the state of each request.
 */
public final class Rules implements Balancer {
    private final Settings settings;
    private final Actions actions;
    private final Random random;
    private final RoundRobin roundRobin = new RoundRobin();
    private final RequestTracker tracker = new RequestTracker();
    private final UpstreamRegistry registry;
    private final OutlierDetector detector;
    private final AdmissionController admission;
    private final LoadProber prober;
    private final PeerWarnings peerWarnings;
    private final TimerQueue timerQueue;
    private AttemptCounts warmCounts = new AttemptCounts();
    private AttemptCounts coldCounts = new AttemptCounts();

    /** The seed is the only source of randomness. */
    public Rules(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new Random(seed);
        this.timerQueue = new TimerQueue(actions);
        this.peerWarnings = new PeerWarnings();
        this.detector = new OutlierDetector();
        this.registry = new UpstreamRegistry();
        this.admission = new AdmissionController();
        this.prober = new LoadProber();
    }

    @Override
    public void start(long now) {
        registry.startedAt = now;
        registry.subscribe(now);
        timerQueue.armHostTimer();
    }

    @Override
    public void listUpdated(long now, ListUpdateType type, List<Upstream> entries) {
        registry.listUpdated(now, type, entries);
        admission.sendQueued(now);
        timerQueue.armHostTimer();
    }

    @Override
    public void requestArrived(long now, Request request) {
        if (request.classIndex() >= settings.classes().size()) {
            throw new IllegalArgumentException("request of unknown class " + request.classIndex());
        }
        PendingRequest pending = tracker.track(now, request);
        admission.admit(now, pending);
        timerQueue.armHostTimer();
    }

    @Override
    public void firstByte(long now, long request, int attempt, long upstream, long elapsed) {
        PendingRequest pending = tracker.requests.get(request);
        if (pending != null && attempt < pending.attempts.size()) {
            pending.responseBegun = true;
        }
    }

    @Override
    public void attemptEnded(long now, long request, int attempt, long upstream, Outcome outcome,
            long elapsed, boolean requestFinished, float[] load) {
        tracker.attemptEnded(now, request, attempt, outcome, requestFinished);
        admission.sendQueued(now);
        timerQueue.armHostTimer();
    }

    @Override
    public void probeResult(long now, long upstream, Outcome outcome, long elapsed, float[] load) {
        TrackedUpstream tracked = registry.upstreams.get(upstream);
        if (tracked != null) {
            prober.probeEnded(now, tracked, outcome, load);
        }
        timerQueue.armHostTimer();
    }

    @Override
    public void peerMessageReceived(long now, int from, byte[] message) {
        if (from != settings.sidecarIndex()) {
            peerWarnings.messageReceived(now, message);
        }
    }

    @Override
    public void clientDisconnected(long now, long request) {
        PendingRequest pending = tracker.requests.get(request);
        if (pending != null) {
            tracker.finish(pending);
        }
    }

    @Override
    public void timerFired(long now, long token) {
        timerQueue.timerFired(now, token);
        admission.sendQueued(now);
        timerQueue.armHostTimer();
    }

    @Override
    public String describeState(long now) {
        String usualMs = Arrays.stream(detector.latencyEstimators)
                .map(each -> Long.toString((long) each.mean() / 1_000_000)).collect(Collectors.joining("/"));
        String line = registry.ready.size() + " ready of " + registry.upstreams.size() + " known, "
                + registry.warmCount(now) + " warm, " + detector.ejectedCount(now) + " shut; shedding "
                + Math.round(100 * admission.shedProbability(now)) + "%, held " + admission.queuedCount
                + ", usual " + usualMs + " ms; attempts on warm " + warmCounts + ", on cold " + coldCounts;
        warmCounts = new AttemptCounts();
        coldCounts = new AttemptCounts();
        return line;
    }

    /** Outcomes of the attempts since the last {@link #describeState}. */
    private static final class AttemptCounts {
        private int inTime;
        private int late;
        private int failed;
        private long totalDuration;  // of the successful attempts, in ns

        void add(Outcome outcome, boolean wasInTime, long duration) {
            if (outcome != Outcome.OK) {
                failed++;
            } else {
                inTime += wasInTime ? 1 : 0;
                late += wasInTime ? 0 : 1;
                totalDuration += duration;
            }
        }

        @Override
        public String toString() {
            return inTime + " in time " + late + " late " + failed + " failed, mean "
                    + totalDuration / 1_000_000 / Math.max(1, inTime + late) + " ms";
        }
    }

    /** Weighted round robin over the ready upstreams; of two neighbours it picks the less loaded one. */
    private final class RoundRobin {
        private final List<TrackedUpstream> order = new ArrayList<>();
        private int nextIndex;  // into order: where the next pick starts

        /** Puts the ready upstreams, given in order of their ids, into a new random order. */
        void reshuffle(List<TrackedUpstream> ready) {
            order.clear();
            order.addAll(ready);
            Collections.shuffle(order, random);
            nextIndex = 0;
        }

        /**
         * Returns the upstream for the next attempt, or null if none is eligible: for a first attempt a cold
         * upstream with slow-start budget, if there is one, else of the next two eligible ones the one with
         * fewer attempts in flight, on a tie the first. Only a request's first attempt advances the index:
         * few upstreams are eligible for a retry, and turns would become uneven.
         */
        TrackedUpstream pick(long now, PendingRequest pending, double toleratedSlowdown) {
            if (!pending.attempts.isEmpty() && !tracker.mayRetry(now, pending)) {
                return null;
            }
            TrackedUpstream cold = pending.attempts.isEmpty()
                    ? registry.coldWithBudget(now, pending, toleratedSlowdown) : null;
            if (cold != null) {
                return cold;
            }
            TrackedUpstream candidate = null;
            TrackedUpstream firstSkipped = null;
            int start = nextIndex;
            for (int i = 0; i < order.size(); i++) {
                int index = (start + i) % order.size();
                TrackedUpstream upstream = order.get(index);
                if (!isEligible(now, upstream, pending, toleratedSlowdown)) {
                    continue;
                }
                if (candidate != null) {
                    return upstream.inFlight < candidate.inFlight ? upstream : candidate;
                }
                if (!takesTurn(upstream, pending)) {
                    firstSkipped = firstSkipped == null ? upstream : firstSkipped;
                    continue;
                }
                candidate = upstream;
                if (pending.attempts.isEmpty()) {
                    nextIndex = (index + 1) % order.size();
                }
            }
            return candidate != null ? candidate : firstSkipped;
        }

        /** Up to {@code max} upstreams eligible for this request, in the order of their turns. */
        List<TrackedUpstream> nextEligible(long now, PendingRequest pending, int max) {
            List<TrackedUpstream> eligible = new ArrayList<>(max);
            for (int i = 0; i < order.size() && eligible.size() < max; i++) {
                TrackedUpstream upstream = order.get((nextIndex + i) % order.size());
                if (isEligible(now, upstream, pending, 0)) {
                    eligible.add(upstream);
                }
            }
            return eligible;
        }

        /** Adds the weight to the credit; from a credit of 1 the upstream takes this turn, which costs 1. */
        private boolean takesTurn(TrackedUpstream upstream, PendingRequest pending) {
            upstream.turnCredit += detector.turnWeight(upstream, pending);
            if (upstream.turnCredit < 1) {
                return false;
            }
            upstream.turnCredit -= 1;
            return true;
        }
    }

    /** Whether the upstream may get an attempt now. Ejections up to {@code toleratedSlowdown} are ignored. */
    private boolean isEligible(long now, TrackedUpstream upstream, PendingRequest pending,
            double toleratedSlowdown) {
        return tracker.mayUse(pending, upstream)  // the cheapest checks come first
                && upstream.inFlight < Math.max(1, (int) upstream.concurrencyLimit)
                && (detector.ignoresEjection(upstream, toleratedSlowdown)
                        || detector.isUsable(now, upstream, pending) && !prober.excludes(upstream, pending))
                && registry.hasColdBudget(now, upstream, pending);
    }

    /** State of one upstream. Counts are of this sidecar's attempts; times are in nanoseconds. */
    private static final class TrackedUpstream {
        Upstream entry;  // from the latest list
        int inFlight;
        long coldUntil;  // end of its slow start
        double turnCredit;  // of weighted round robin: grows by the weight at each turn, a turn costs 1
        double coldBudget;  // slow-start budget: work in ns that may be sent now; negative after overspending
        boolean coldBudgetInitialized;
        long refilledAt;  // time of the last refill of coldBudget
        double responseRate;  // responses expected per ns: sum of 1 / expectedDuration of attempts in flight
        long expectedResponsesAt;  // time up to which expectedResponses is integrated
        double expectedResponses;  // decaying count of the responses due so far
        double receivedResponses;  // decaying count
        int connectFailures;  // since the last response
        long nextTrialAt;  // 0 while it is not ejected
        long ejectionNanos;  // ejection duration: time from one trial attempt to the next
        double concurrencyLimit = AdmissionController.INITIAL_CONCURRENCY_LIMIT;
        long limitReducedAt;
        double reportedInFlight = Double.MAX_VALUE;  // by last probe, plus attempts since; MAX_VALUE: unknown
        boolean suspect;  // ejected for its warnings, until they fall to half the threshold
        final DecayingSum warnings;  // of this sidecar and of its peers
        final List<PendingRequest> probingRequests = new ArrayList<>(2);  // waiting for its load probe

        TrackedUpstream(Upstream entry, long now, DecayingSum warnings) {
            this.entry = entry;
            this.warnings = warnings;
            this.expectedResponsesAt = now;
            this.refilledAt = now;
        }
    }

    /** One attempt. It occupies the attempt window until it is known whether it is in time. */
    private static final class Attempt {
        final TrackedUpstream upstream;
        final long sentAt;
        final int inFlightBefore;  // this sidecar's other attempts at the upstream when this one was sent
        final double reportedInFlightBefore;  // the upstream's reportedInFlight when this one was sent
        boolean outstanding = true;  // has no outcome yet
        boolean leftWindow;
        boolean mayHaveRun = true;  // false once its outcome proves that the upstream did not process it

        Attempt(TrackedUpstream upstream, long sentAt) {
            this.upstream = upstream;
            this.sentAt = sentAt;
            this.inFlightBefore = upstream.inFlight;
            this.reportedInFlightBefore = upstream.reportedInFlight++;
        }
    }

    /** State of a request until it is finished and has no attempt outstanding; times in nanoseconds. */
    private static final class PendingRequest {
        final Request request;
        final RequestClass requestClass;
        final long deadline;  // time at which the final response is due
        final long latencyTarget;  // a duration: the class's target, scaled with the request's cost
        final long latencyTargetAt;  // time until which a response has its full value
        final List<Attempt> attempts = new ArrayList<>(2);
        TimerQueue.Timer deadlineTimer;  // until the request is finished
        boolean finished;  // has its final response, or the client disconnected
        boolean queued;
        boolean responseBegun;  // the response has begun
        boolean probesSent;  // load probes were sent for its next attempt
        int probesLeft;  // without a result so far
        List<TrackedUpstream> probed = List.of();
        double maxReportedInFlight;  // upstreams that reported more are not eligible
        double expectedDuration;  // of one attempt

        PendingRequest(Request request, RequestClass requestClass, long now, long elapsed) {
            this.request = request;
            this.requestClass = requestClass;
            this.deadline = now + request.timeLeft() - request.responseReserve();
            double scaled = requestClass.latencyTarget()
                    + requestClass.latencyTargetCostFactor() * request.costHint();
            this.latencyTarget = (long) Math.min(scaled, requestClass.deadline());
            this.latencyTargetAt = now - elapsed - request.responseReserve() / 2
                    + Math.min(request.timeLeft() + elapsed, latencyTarget);
        }

        /** Whether the last attempt is outstanding; no earlier one ever is. */
        boolean awaitsOutcome() {
            return !attempts.isEmpty() && attempts.get(attempts.size() - 1).outstanding;
        }
    }

    /** Keeps each request until it is finished: its attempts, which retries are safe, its final response. */
    private final class RequestTracker {
        private final Map<Long, PendingRequest> requests = new HashMap<>();

        PendingRequest track(long now, Request request) {
            PendingRequest pending = new PendingRequest(request, settings.classes().get(request.classIndex()),
                    now, admission.elapsedAtClient(request));
            // Used as a divisor, so it must not be 0 where responses take no time.
            pending.expectedDuration = Math.max(pending.latencyTarget / 1000.0,
                    detector.latencyEstimators[request.classIndex()].expected(request.costHint()));
            requests.put(request.id(), pending);
            pending.deadlineTimer = timerQueue.schedule(pending.deadline, at -> {
                if (!pending.responseBegun) {
                    refuseOrFail(pending, FailureReason.DEADLINE);
                }
            });
            return pending;
        }

        /** The first attempt that may have had an effect, or null if all are proven not to have run. */
        private Attempt firstThatMayHaveRun(PendingRequest pending) {
            for (Attempt attempt : pending.attempts) {
                if (attempt.mayHaveRun) {
                    return attempt;
                }
            }
            return null;
        }

        /** Whether another attempt is allowed now, whichever upstream it goes to. */
        boolean mayRetry(long now, PendingRequest pending) {
            if (pending.finished || pending.responseBegun || now >= pending.deadline
                    || pending.awaitsOutcome()
                    || pending.attempts.size() >= settings.capabilities().maxAttempts()) {
                return false;
            }
            Attempt first = firstThatMayHaveRun(pending);
            return first == null || switch (pending.requestClass.semantics()) {
                case REPEATABLE -> true;
                case ONCE -> false;
                // One tick earlier, as the send takes effect only at the end of this batch of events.
                case BY_KEY -> now + settings.tickInterval() < first.sentAt + pending.requestClass.keyTtl();
            };
        }

        /** Whether the upstream has had no attempt of the request and recognizes the key of a keyed retry. */
        boolean mayUse(PendingRequest pending, TrackedUpstream upstream) {
            for (Attempt attempt : pending.attempts) {
                if (attempt.upstream == upstream) {
                    return false;
                }
            }
            Attempt first = firstThatMayHaveRun(pending);
            if (first == null || pending.requestClass.semantics() != Semantics.BY_KEY) {
                return true;
            }
            Upstream firstEntry = first.upstream.entry;
            return switch (pending.requestClass.scope()) {
                case ALL -> true;
                case ZONE -> firstEntry.zone() == upstream.entry.zone();
                case CELL -> firstEntry.cell() == upstream.entry.cell();
            };
        }

        /** Sends the next attempt. All attempts of all requests are sent here. */
        void send(long now, PendingRequest pending, TrackedUpstream upstream) {
            Attempt attempt = new Attempt(upstream, now);
            pending.attempts.add(attempt);
            pending.probesSent = false;
            pending.probed = List.of();
            detector.attemptSent(now, upstream, pending);
            peerWarnings.attemptSent();
            upstream.coldBudget -= registry.estimatedWork(pending);
            upstream.inFlight++;
            // Work past its latency target occupies a core that other work needs to be in time. It is stopped
            // only where load probes show an upstream's work; elsewhere it would continue unnoticed.
            boolean stopAtTarget = prober.isEnabled() && pending.requestClass.lateValueShare() == 0
                    && pending.latencyTargetAt > now;
            actions.send(pending.request.id(), upstream.entry.id(),
                    stopAtTarget ? pending.latencyTargetAt - now : 0);
            admission.attemptsInWindow++;
            timerQueue.schedule(Math.max(now, pending.latencyTargetAt) + 1,
                    at -> admission.recordTimeliness(at, attempt, false, pending.latencyTarget));
        }

        void attemptEnded(long now, long id, int attemptNumber, Outcome outcome, boolean requestFinished) {
            PendingRequest pending = requests.get(id);
            if (pending == null || attemptNumber >= pending.attempts.size()
                    || !pending.attempts.get(attemptNumber).outstanding) {
                return;
            }
            Attempt attempt = pending.attempts.get(attemptNumber);
            attempt.outstanding = false;
            attempt.mayHaveRun = !outcome.provesNeverRan();
            TrackedUpstream upstream = attempt.upstream;
            upstream.inFlight--;
            registry.removeIfUnused(upstream);
            detector.attemptEnded(now, attempt, outcome, pending);
            (attempt.sentAt < upstream.coldUntil ? coldCounts : warmCounts)
                    .add(outcome, now <= pending.latencyTargetAt, now - attempt.sentAt);
            if (outcome != Outcome.CONNECT_FAILED && outcome != Outcome.NEVER_SENT) {
                admission.attemptEnded(now, attempt, outcome, pending);
            }
            admission.leaveWindow(attempt);
            if (outcome == Outcome.OK) {
                registry.servedWork.add(now, registry.estimatedWork(pending));
            }
            if (requestFinished || pending.finished) {
                finish(pending);
                return;
            }
            // After an attempt on every upstream, a request queued for a retry could never be sent.
            if (mayRetry(now, pending) && registry.ready.stream().anyMatch(next -> mayUse(pending, next))
                    && admission.isRetryWorthwhile(now, pending)) {
                admission.admit(now, pending);
            } else {
                refuseOrFail(pending,
                        now >= pending.deadline ? FailureReason.DEADLINE : FailureReason.ATTEMPT_FAILED);
            }
        }

        /** Gives the final response: a refusal if a client retry is known to be safe, else a failure. */
        void refuseOrFail(PendingRequest pending, FailureReason reason) {
            if (pending.finished) {
                return;
            }
            boolean retryIsSafe = firstThatMayHaveRun(pending) == null
                    || pending.requestClass.semantics() == Semantics.REPEATABLE
                    || pending.requestClass.semantics() == Semantics.BY_KEY
                            && pending.requestClass.scope() == KeyScope.ALL;
            if (retryIsSafe) {
                actions.refuse(pending.request.id(), admission.retryAfter(pending), reason);
            } else {
                actions.fail(pending.request.id(), reason);
            }
            finish(pending);
        }

        /** Ends a request and cancels its outstanding attempt, which stays in flight until its outcome. */
        void finish(PendingRequest pending) {
            if (!pending.finished && pending.awaitsOutcome() && !pending.responseBegun
                    && settings.capabilities().cancel()) {
                actions.cancel(pending.request.id(), pending.attempts.size() - 1);
            }
            pending.finished = true;
            timerQueue.cancel(pending.deadlineTimer);
            if (pending.queued) {
                admission.removeQueued(pending);
            }
            if (!pending.awaitsOutcome()) {
                requests.remove(pending.request.id());
            }
        }
    }

    /** The listed upstreams, the subscription to the list, and the budget of upstreams in slow start. */
    private final class UpstreamRegistry {
        /**
         * In ns. Once discovery can be reached again, 6 s pass until the balancer counts as told; a response
         * may take 2 s of them.
         */
        private static final long MAX_SUBSCRIPTION_RETRY_DELAY = 4_000_000_000L;
        private final TreeMap<Long, TrackedUpstream> upstreams = new TreeMap<>();
        private List<TrackedUpstream> ready = List.of();
        private List<TrackedUpstream> cold = List.of();
        private final DurationRatio coldRatio = new DurationRatio();
        private final DurationRatio warmRatio = new DurationRatio();
        private long nextWarmAt = Long.MAX_VALUE;  // time at which the next slow start ends
        private boolean listReceived;
        private final DecayingSum servedWork = new DecayingSum(settings.limits().rampTime(), 0);  // in ns
        private long retryDelay;  // of a failed subscription, in ns
        private long renewalGeneration;  // a scheduled renewal of an older generation does nothing
        private long startedAt;  // of this sidecar

        void subscribe(long now) {
            if (settings.discovery() == DiscoveryMode.SUBSCRIBE) {
                actions.subscribe(true);
                scheduleRenewal(now + settings.limits().listRenewalInterval() / 2);
            }
        }

        private void scheduleRenewal(long at) {
            long generation = ++renewalGeneration;
            timerQueue.schedule(at, now -> {
                if (generation == renewalGeneration) {
                    subscribe(now);
                }
            });
        }

        void listUpdated(long now, ListUpdateType type, List<Upstream> entries) {
            if (type == ListUpdateType.FAILED) {
                // A failed subscription delivers nothing more. It is renewed with backoff and jitter, so that
                // many sidecars whose calls failed together do not overload discovery together.
                long base = Math.min(MAX_SUBSCRIPTION_RETRY_DELAY,
                        Math.max(settings.tickInterval(), settings.limits().listRenewalInterval() / 40));
                long longest = Math.min(MAX_SUBSCRIPTION_RETRY_DELAY,
                        settings.limits().listRenewalInterval() / 2);
                retryDelay = Math.max(base, Math.min(retryDelay * 2, longest));
                scheduleRenewal(now + retryDelay / 2 + random.nextLong(retryDelay / 2 + 1));
                return;
            }
            if (type != ListUpdateType.CACHED) {
                renewalGeneration++;
                retryDelay = 0;
            }
            Set<Long> missing = new TreeSet<>(type == ListUpdateType.DELTA ? Set.of() : upstreams.keySet());
            boolean changed = false;
            for (Upstream entry : entries) {
                missing.remove(entry.id());
                changed |= applyEntry(now, entry);
            }
            for (long id : missing) {
                changed |= applyEntry(now, upstreams.get(id).entry.gone());
            }
            listReceived = true;
            if (changed) {
                ready = upstreams.values().stream()
                        .filter(upstream -> upstream.entry.state() == UpstreamState.READY).toList();
                refreshCold(now);
                roundRobin.reshuffle(ready);
                peerWarnings.setUpstreams(ready);
            }
        }

        /** Removes an upstream that has left the list once it has no attempt in flight. */
        void removeIfUnused(TrackedUpstream upstream) {
            if (upstream.entry.state() == UpstreamState.GONE && upstream.inFlight == 0) {
                upstreams.remove(upstream.entry.id(), upstream);
            }
        }

        private void refreshCold(long now) {
            cold = ready.stream().filter(upstream -> now < upstream.coldUntil).toList();
            nextWarmAt = cold.stream().mapToLong(upstream -> upstream.coldUntil).min().orElse(Long.MAX_VALUE);
        }

        /** The ready upstreams in slow start; computed again only when one has ended its slow start. */
        private List<TrackedUpstream> cold(long now) {
            if (now >= nextWarmAt) {
                refreshCold(now);
            }
            return cold;
        }

        private int warmCount(long now) {
            return ready.size() - cold(now).size();
        }

        /** Takes the duration of a response, relative to the expected one, as a measure of load. */
        void recordDuration(long now, Attempt attempt, double ratio) {
            (attempt.sentAt < attempt.upstream.coldUntil ? coldRatio : warmRatio).add(now, ratio);
        }

        /**
         * Factor on the budget of cold upstreams: how many times longer warm responses take than cold ones.
         * The budget follows what warm upstreams serve. That is too low while they are overloaded, and leaves
         * cold ones idle, and too high after a burst. Above 1 the factor rises with the ramp's progress, at
         * most to one less than the overload factor, at which a cold upstream collapses.
         */
        private double coldBias(long now, double progress) {
            double bias = warmRatio.mean(now) / coldRatio.mean(now);
            double maxBias = Math.max(1, settings.limits().overloadFactor() - 1);
            return Math.min(bias, 1 + progress * (Math.min(bias, maxBias) - 1));
        }

        /**
         * A cold upstream with budget for the request, or null. Its turn comes only every few seconds, and
         * its budget is a fraction of a request per turn. Spent only at its turn, most of the budget would
         * expire, and it would be idle while warm upstreams are overloaded.
         */
        TrackedUpstream coldWithBudget(long now, PendingRequest pending, double toleratedSlowdown) {
            if (warmCount(now) > 0) {
                for (TrackedUpstream upstream : cold(now)) {
                    if (isEligible(now, upstream, pending, toleratedSlowdown)) {
                        return upstream;
                    }
                }
            }
            return null;
        }

        /** Applies one entry of the list; true if the set of ready upstreams changed. */
        private boolean applyEntry(long now, Upstream entry) {
            TrackedUpstream upstream = upstreams.get(entry.id());
            boolean wasReady = upstream != null && upstream.entry.state() == UpstreamState.READY;
            // A restarted process has neither the load nor the faults of the one before.
            boolean newProcess = upstream == null || entry.startedAt() > upstream.entry.startedAt();
            if (newProcess) {
                long processStartedAt = entry.startedAt() == 0 && listReceived ? now : entry.startedAt();
                upstream = new TrackedUpstream(entry, now, peerWarnings.newCounter());
                upstream.turnCredit = random.nextDouble();
                upstreams.put(entry.id(), upstream);
                if (processStartedAt > 0 && now < processStartedAt + settings.limits().rampTime()) {
                    upstream.coldUntil = processStartedAt + settings.limits().rampTime();
                }
            }
            upstream.entry = entry;
            removeIfUnused(upstream);
            return wasReady != (entry.state() == UpstreamState.READY)
                    || newProcess && entry.state() == UpstreamState.READY;
        }

        /**
         * Whether the upstream is warm or has slow-start budget left. A cold upstream that all sidecars
         * together overload collapses and does not recover. The budget is a share of what a warm upstream
         * serves for this sidecar, so that the budgets of all sidecars add up to that share of its load.
         */
        boolean hasColdBudget(long now, TrackedUpstream upstream, PendingRequest pending) {
            if (now >= upstream.coldUntil) {
                return true;
            }
            double progress = Math.max(0, Math.min(1,
                    1 - (upstream.coldUntil - now) / (double) settings.limits().rampTime()));
            double coldShare = settings.limits().coldCapacityShare();
            double rate = warmRate(now) * (coldShare + (1 - coldShare) * progress) * coldBias(now, progress);
            if (rate == 0) {
                // No warm upstream has served anything yet. One attempt at a time from every sidecar would
                // overload a cold upstream, so it gets one only if there is no warm upstream.
                return upstream.inFlight == 0 && warmCount(now) == 0;
            }
            if (!upstream.coldBudgetInitialized) {
                // Starting at 0, hundreds of sidecars would send their first requests together. Each starts
                // with a random debt of up to one request, so that their sum keeps to the rate.
                upstream.coldBudgetInitialized = true;
                upstream.coldBudget = -random.nextDouble() * estimatedWork(pending);
            }
            double limit = rate * settings.limits().overloadWindow() / 2;
            upstream.coldBudget = Math.min(limit, upstream.coldBudget + rate * (now - upstream.refilledAt));
            upstream.refilledAt = now;
            return upstream.coldBudget >= 0 && upstream.inFlight <= 1 + upstream.concurrencyLimit / 2;
        }

        /**
         * Work, in ns per ns, that a warm upstream serves for this sidecar on average. The sum over a ramp
         * time is incomplete until the sidecar has run that long: uncorrected, a new sidecar's budget would
         * be almost 0, and after a restart of the whole fleet cold upstreams would be idle.
         */
        private double warmRate(long now) {
            int warm = warmCount(now);
            double window = settings.limits().rampTime();
            double elapsed = Math.max(settings.limits().overloadWindow(), now - startedAt);
            return warm == 0 ? 0
                    : servedWork.value(now) / warm / (window * (1 - Math.exp(-elapsed / window)));
        }

        double estimatedWork(PendingRequest pending) {
            return pending.request.costHint() > 0 ? pending.request.costHint() : pending.expectedDuration;
        }
    }

    /** Mean ratio of duration to expected duration of recent responses, with some ratios of 1 added. */
    private final class DurationRatio {
        private static final int PRIOR_COUNT = 3;
        private final DecayingSum sum = new DecayingSum(8.0 * detector.minLatencyTarget, 0);
        private final DecayingSum count = new DecayingSum(8.0 * detector.minLatencyTarget, 0);

        void add(long now, double ratio) {
            sum.add(now, ratio);
            count.add(now, 1);
        }

        double mean(long now) {
            return (sum.value(now) + PRIOR_COUNT) / (count.value(now) + PRIOR_COUNT);
        }
    }

    /** Mean response duration of one model's upstreams, divided by the duration expected of any upstream. */
    private static final class ModelSpeed {
        private double mean = 1;
        private double count = 2;  // as if two responses had been as expected

        void add(double ratio) {
            count++;
            mean += Math.max(0.03, 1 / count) * (Math.min(ratio, 4) - mean);
        }
    }

    /** Ejects slow and failing upstreams, by the outcomes of attempts and by peer warnings. */
    private final class OutlierDetector {
        /** Share of the latency target: a model that responds sooner is far from its capacity. */
        private static final double FULL_WEIGHT_TARGET_SHARE = 0.25;
        private static final double SPEED_EXPONENT = 1.4;
        private final Map<Integer, ModelSpeed> modelSpeeds = new TreeMap<>();
        private double fastestRatio = 1;  // lowest mean of all models

        ModelSpeed modelSpeed(TrackedUpstream upstream) {
            return modelSpeeds.computeIfAbsent(upstream.entry.model(), model -> new ModelSpeed());
        }

        /**
         * The share of its turns that the upstream gets. With equal turns a slow machine gets as much work as
         * a fast one, which is more than it can do with the fleet three quarters busy. It is 1 while its
         * model responds well within the latency target, else the ratio of the fastest model's duration to
         * its model's, and somewhat less: at the same utilization, requests wait longer on a slow machine.
         */
        double turnWeight(TrackedUpstream upstream, PendingRequest pending) {
            double ratio = modelSpeed(upstream).mean;
            return ratio * pending.expectedDuration < FULL_WEIGHT_TARGET_SHARE * pending.latencyTarget ? 1
                    : Math.min(1, Math.pow(fastestRatio / ratio, SPEED_EXPONENT));
        }

        private void recordModelSpeed(TrackedUpstream upstream, double ratio) {
            modelSpeed(upstream).add(ratio);
            fastestRatio = modelSpeeds.values().stream().mapToDouble(model -> model.mean).min().orElse(1);
        }

        /** Share of the latency target: an upstream expected to take longer is useless for the class. */
        private static final double USABLE_TARGET_SHARE = 0.75;
        /** Machines of one fleet differ about twofold from their mean; beyond that it is a fault. */
        private static final double MAX_SLOWDOWN = 2;
        /** By class, over all upstreams; they start from a tenth of the latency target. */
        private final LatencyEstimator[] latencyEstimators = new LatencyEstimator[settings.classes().size()];
        private final long minLatencyTarget;  // of all classes, in ns
        private final DecayingSum recentlySent;  // attempts of this sidecar at all upstreams
        private final double recentWindow;  // of recentlySent: eight latency targets, in ns

        OutlierDetector() {
            for (int i = 0; i < latencyEstimators.length; i++) {
                latencyEstimators[i] = new LatencyEstimator(settings.classes().get(i).latencyTarget() / 10.0);
            }
            minLatencyTarget =
                    settings.classes().stream().mapToLong(RequestClass::latencyTarget).min().orElse(1);
            recentWindow = 8.0 * minLatencyTarget;
            recentlySent = new DecayingSum(recentWindow, 0);
        }

        private void updateExpectedResponses(long now, TrackedUpstream upstream) {
            upstream.expectedResponses += upstream.responseRate * (now - upstream.expectedResponsesAt);
            upstream.expectedResponsesAt = now;
        }

        void attemptSent(long now, TrackedUpstream upstream, PendingRequest pending) {
            updateExpectedResponses(now, upstream);
            upstream.responseRate += 1 / pending.expectedDuration;
            recentlySent.add(now, 1);
            if (upstream.nextTrialAt > 0) {
                upstream.ejectionNanos = Math.min(upstream.ejectionNanos * 2, initialEjectionNanos(now) * 8);
                upstream.nextTrialAt = now + upstream.ejectionNanos;
            }
        }

        /** Ejects or readmits the upstream; true if it is not ejected or may get a trial attempt now. */
        boolean isUsable(long now, TrackedUpstream upstream, PendingRequest pending) {
            updateExpectedResponses(now, upstream);
            boolean outlier = upstream.connectFailures > 0 || peerWarnings.isSuspect(now, upstream)
                    || slowdown(upstream) > MAX_SLOWDOWN && slowdown(upstream) * pending.expectedDuration
                            > USABLE_TARGET_SHARE * pending.latencyTarget;
            if (!outlier) {
                upstream.nextTrialAt = 0;
                return true;
            }
            if (upstream.nextTrialAt == 0) {
                upstream.ejectionNanos = initialEjectionNanos(now);
                upstream.nextTrialAt =
                        now + upstream.ejectionNanos / 2 + random.nextLong(upstream.ejectionNanos + 1);
            }
            return now >= upstream.nextTrialAt;
        }

        /**
         * First ejection duration: two cycles through all upstreams, within bounds. Where each of many
         * sidecars reaches an upstream rarely, a shorter one allows a trial at each turn, and all trials
         * together keep it overloaded.
         */
        private long initialEjectionNanos(long now) {
            double cycle = registry.ready.size() * recentWindow / Math.max(1, recentlySent.value(now));
            return (long) Math.max(minLatencyTarget, Math.min(2 * cycle, 32.0 * minLatencyTarget));
        }

        /**
         * Panic threshold: ejections up to this slowdown are ignored, none if it is 0. A fault common to all
         * upstreams would leave none, and one common to most would overload the few left. If all are ejected,
         * all ejections are ignored; if more than half are, those up to the median slowdown.
         */
        double toleratedSlowdown(long now, PendingRequest pending) {
            long usable = registry.ready.stream().filter(each -> isUsable(now, each, pending)).count();
            if (usable == 0 || 2 * usable >= registry.ready.size()) {
                return usable == 0 ? Double.MAX_VALUE : 0;
            }
            double[] slowdowns = registry.ready.stream().mapToDouble(this::slowdown).sorted().toArray();
            return slowdowns[slowdowns.length / 2];
        }

        boolean ignoresEjection(TrackedUpstream upstream, double toleratedSlowdown) {
            return toleratedSlowdown == Double.MAX_VALUE
                    || upstream.connectFailures == 0 && slowdown(upstream) <= toleratedSlowdown;
        }

        /** Number of ejected upstreams, for operators; changes no state. */
        long ejectedCount(long now) {
            return registry.ready.stream().filter(upstream -> upstream.nextTrialAt > now).count();
        }

        /** How many times longer than expected responses take, with two responses in time added. */
        private double slowdown(TrackedUpstream upstream) {
            return (upstream.expectedResponses + 2) / (upstream.receivedResponses + 2);
        }

        void attemptEnded(long now, Attempt attempt, Outcome outcome, PendingRequest pending) {
            TrackedUpstream upstream = attempt.upstream;
            updateExpectedResponses(now, upstream);
            upstream.responseRate = upstream.inFlight == 0 ? 0
                    : Math.max(0, upstream.responseRate - 1 / pending.expectedDuration);
            switch (outcome) {
                case OK -> {
                    prober.recordDuration(attempt, now - attempt.sentAt);
                    registry.recordDuration(now, attempt, (now - attempt.sentAt) / pending.expectedDuration);
                    recordModelSpeed(upstream, (now - attempt.sentAt) / pending.expectedDuration);
                    latencyEstimators[pending.request.classIndex()]
                            .add(now - attempt.sentAt, pending.request.costHint());
                    responseReceived(upstream);
                }
                case ERROR, RESET -> {
                    // Fast errors keep the in-flight count low and so attract attempts. Each counts as a
                    // response at twice the latency target: a single one ejects nothing, two in a row do.
                    responseReceived(upstream);
                    upstream.expectedResponses += 2 * pending.latencyTarget / pending.expectedDuration;
                }
                case CONNECT_FAILED -> upstream.connectFailures++;
                default -> { }
            }
        }

        private void responseReceived(TrackedUpstream upstream) {
            double decay = upstream.nextTrialAt > 0 ? 0.5 : 0.9;  // after a trial, older evidence counts less
            upstream.expectedResponses *= decay;
            upstream.receivedResponses = upstream.receivedResponses * decay + 1;
            upstream.connectFailures = 0;
        }
    }

    /** The queued requests of one tenant, and its recent usage of its quota. */
    private static final class TenantQueue {
        // Newest first. In order of arrival, an overload delays every request until it is late, even after
        // the overload has ended; newest first, only some are late.
        private final ArrayDeque<PendingRequest> queued = new ArrayDeque<>();
        private final double quotaPerSecond;
        private final DecayingSum recentWork;  // expected duration of its attempts, in ns
        private long skippedInPass;  // the pass of sendQueued in which its first request could not be sent

        TenantQueue(double quotaPerSecond, double window) {
            this.quotaPerSecond = quotaPerSecond;
            this.recentWork = new DecayingSum(window, 0);
        }

        double relativeUsage(long now) {
            return recentWork.value(now) / quotaPerSecond;
        }
    }

    /** Decides whether a request is sent, queued or shed, and adapts the limits of concurrent attempts. */
    private final class AdmissionController {
        // With 1, all eligible upstreams would have no attempt in flight, and none would be the less loaded
        // one; with more than 2, sidecars that start together would overload upstreams.
        static final double INITIAL_CONCURRENCY_LIMIT = 2;
        /** Share of the latency target: a slower attempt leaves no time for a retry with its own delays. */
        private static final double SLOW_TARGET_SHARE = 0.4;
        private static final int MAX_VOTES = 1000;  // high: client retries may be the majority for a while
        /** An in-time ratio of four in five is healthy: the rest is chance and single faults. */
        private static final double INVERSE_HEALTHY_RATIO = 1.25;
        /** Too few to overload an upstream. A window of 1 might be filled by an attempt without response. */
        private static final double MIN_WINDOW_PER_UPSTREAM = 4;
        // Added to the attempts and to those in time. Otherwise a sidecar with little traffic, which sees a
        // few attempts in two latency targets, would shed a third when two of them are late by chance.
        private static final int PRIOR_IN_TIME = 4;
        private static final double SHED_IN_TIME_SHARE = 0.5;  // of shed requests, counted as in time
        /** Budgets grow and trials become due without an event: how often the queue is checked for that. */
        private static final int QUEUE_CHECKS_PER_TARGET = 5;
        private final TenantQueue[] tenantQueues = new TenantQueue[Math.max(1, settings.tenants().size())];
        private int queuedCount;  // over all tenants
        private boolean queueCheckScheduled;
        private long passes;  // calls of sendQueued
        private final long[] usualTimeLeft = new long[settings.classes().size()];  // by class, in ns
        private final int[] usualTimeLeftVotes = new int[settings.classes().size()];
        // Over two latency targets: within one it is known whether an attempt is in time. Shedding keeps
        // newer evidence away, so that with a longer memory it would continue long after the overload.
        private final DecayingSum recentAttempts = new DecayingSum(2.0 * detector.minLatencyTarget, 0);
        private final DecayingSum recentInTime = new DecayingSum(2.0 * detector.minLatencyTarget, 0);
        // Attempt window: maximum number of attempts of which it is not yet known whether they are in time.
        // With hundreds of upstreams and sidecars, concurrency limits per upstream have no effect, and the
        // first requests of all sidecars after a restart or a burst would overload upstreams. It doubles each
        // round trip in the initial growth phase, and then grows by one.
        private double attemptWindow;
        private boolean initialGrowth = true;
        private long windowReducedAt;  // the window shrinks at most once per round trip
        private int attemptsInWindow;
        private final DecayingSum recentShed = new DecayingSum(2.0 * detector.minLatencyTarget, 0);

        AdmissionController() {
            for (int i = 0; i < tenantQueues.length; i++) {
                double quota = settings.tenants().isEmpty() ? 1 : settings.tenants().get(i).quotaPerSecond();
                // Four latency targets: longer than responses take, shorter than a burst of some seconds.
                tenantQueues[i] = new TenantQueue(quota > 0 ? quota : 1,
                        4.0 * settings.classes().get(0).latencyTarget());
            }
        }

        /**
         * Time in ns since the client first sent this request. Without a client retry, all requests of a
         * class arrive with the same time left; a client retry arrives with the rest of the class's deadline.
         * The most common time left (replaced once two of three differ) is taken as that of no client retry.
         */
        long elapsedAtClient(Request request) {
            int classIndex = request.classIndex();
            long timeLeft = request.timeLeft();
            if (Math.abs(timeLeft - usualTimeLeft[classIndex]) <= 2 * settings.tickInterval()) {
                usualTimeLeftVotes[classIndex] = Math.min(usualTimeLeftVotes[classIndex] + 2, MAX_VOTES);
                return 0;
            }
            if (--usualTimeLeftVotes[classIndex] < 0) {
                usualTimeLeft[classIndex] = timeLeft;
                usualTimeLeftVotes[classIndex] = 0;
                return 0;
            }
            return Math.max(0, settings.classes().get(classIndex).deadline() - timeLeft);
        }

        /** Sheds a request under overload, else sends it, or queues it as long as it can be in time. */
        void admit(long now, PendingRequest pending) {
            if (now >= pending.deadline || registry.ready.isEmpty()) {
                tracker.refuseOrFail(pending, now >= pending.deadline
                        ? FailureReason.DEADLINE : FailureReason.NO_UPSTREAM);
                return;
            }
            int retryMultiplier = pending.request.clientRetry() ? 3 : 1;
            if (pending.attempts.isEmpty() && !pending.probesSent
                    && random.nextDouble() < retryMultiplier * shedProbability(now)) {
                recentShed.add(now, 1);
                tracker.refuseOrFail(pending, FailureReason.SHED);
                return;
            }
            if (prober.probeBeforeSend(now, pending)) {
                return;
            }
            if (pending.attempts.isEmpty() && now + pending.expectedDuration / 2
                    >= Math.min(pending.latencyTargetAt, pending.deadline)) {
                // unlikely to be in time; usually a client retry, or it has waited behind others
                tracker.refuseOrFail(pending, FailureReason.TOO_LATE);
            } else if (queuedCount > 0 || !trySend(now, pending)) {
                pending.queued = true;
                tenantQueue(pending).queued.push(pending);
                queuedCount++;
                long latestSendAt = pending.latencyTargetAt  // of those sent later, half would be late
                        - (long) (1.5 * pending.expectedDuration);
                timerQueue.schedule(Math.max(now + 1, latestSendAt), at -> {
                    if (pending.queued) {
                        tracker.refuseOrFail(pending, FailureReason.HELD);
                    }
                });
                sendQueued(now);
            }
        }

        /**
         * Probability that a new request is shed. Where many sidecars have one attempt in flight each, no
         * limit per upstream has an effect, and once responses are late, upstreams do useless work until much
         * less is sent. Nothing is shed while four fifths of the recent attempts were in time; below, the
         * share sent is the cube of the in-time ratio, as a proportional share would sustain the overload.
         * Clients send shed requests again, so marked client retries are shed more often. Shed requests give
         * no evidence: sidecars that shed together would not notice that upstreams recover. Half of them are
         * counted as in time, so that a few requests are sent in any overload.
         */
        private double shedProbability(long now) {
            double shedCount = recentShed.value(now);
            double ratioToHealthy = Math.min(1, INVERSE_HEALTHY_RATIO
                    * (recentInTime.value(now) + SHED_IN_TIME_SHARE * shedCount + PRIOR_IN_TIME)
                    / (recentAttempts.value(now) + shedCount + PRIOR_IN_TIME));
            return 1 - ratioToHealthy * ratioToHealthy * ratioToHealthy;
        }

        private TenantQueue tenantQueue(PendingRequest pending) {
            return tenantQueues[Math.min(pending.request.tenant(), tenantQueues.length - 1)];
        }

        private boolean trySend(long now, PendingRequest pending) {
            if (attemptsInWindow >= (int) currentWindow()) {
                return false;
            }
            TrackedUpstream upstream = roundRobin.pick(now, pending, 0);
            if (upstream == null) {
                upstream = roundRobin.pick(now, pending, detector.toleratedSlowdown(now, pending));
            }
            if (upstream == null) {
                return false;
            }
            tracker.send(now, pending, upstream);
            tenantQueue(pending).recentWork.add(now, pending.expectedDuration);
            return true;
        }

        /** Sends queued requests while there is capacity, from the tenant with the least relative usage. */
        void sendQueued(long now) {
            sendUntilBlocked(now);
            if (queuedCount > 0 && !queueCheckScheduled) {
                queueCheckScheduled = true;
                timerQueue.schedule(now + Math.max(1, detector.minLatencyTarget / QUEUE_CHECKS_PER_TARGET),
                        at -> queueCheckScheduled = false);  // timerFired sends queued requests
            }
        }

        private void sendUntilBlocked(long now) {
            passes++;
            while (queuedCount > 0) {
                TenantQueue leastUsed = null;
                for (TenantQueue queue : tenantQueues) {
                    if (!queue.queued.isEmpty() && queue.skippedInPass != passes && (leastUsed == null
                            || queue.relativeUsage(now) < leastUsed.relativeUsage(now))) {
                        leastUsed = queue;
                    }
                }
                if (leastUsed == null) {
                    return;
                }
                PendingRequest pending = leastUsed.queued.peek();
                if (trySend(now, pending)) {
                    removeQueued(pending);
                } else {
                    leastUsed.skippedInPass = passes;
                }
            }
        }

        void removeQueued(PendingRequest pending) {
            pending.queued = false;
            tenantQueue(pending).queued.remove(pending);
            queuedCount--;
        }

        void attemptEnded(long now, Attempt attempt, Outcome outcome, PendingRequest pending) {
            TrackedUpstream upstream = attempt.upstream;
            if (outcome != Outcome.CANCELLED) {
                recordTimeliness(now, attempt, outcome == Outcome.OK && now <= pending.latencyTargetAt,
                        pending.latencyTarget);
            }
            LatencyEstimator estimator = detector.latencyEstimators[pending.request.classIndex()];
            double scaledDuration = (now - attempt.sentAt) * estimator.mean() / pending.expectedDuration;
            if (outcome == Outcome.REJECTED || scaledDuration > SLOW_TARGET_SHARE * pending.latencyTarget) {
                if (attempt.sentAt >= upstream.limitReducedAt) {
                    upstream.concurrencyLimit = Math.max(0.1, upstream.concurrencyLimit * 0.8);
                    upstream.limitReducedAt = now;
                }
            } else if (outcome == Outcome.OK && attempt.inFlightBefore + 1 >= upstream.concurrencyLimit / 2) {
                upstream.concurrencyLimit +=  // at most one per round trip
                        Math.min(0.2 * upstream.concurrencyLimit, 1 / upstream.concurrencyLimit);
            }
        }

        /**
         * Counts an attempt as in time or late as soon as that is known. Counted when it ends, an attempt
         * without a response would report an overload a whole deadline after it began.
         */
        void recordTimeliness(long now, Attempt attempt, boolean inTime, double latencyTarget) {
            if (attempt.leftWindow) {
                return;
            }
            recentAttempts.add(now, 1);
            recentInTime.add(now, inTime ? 1 : 0);
            resizeWindow(now, attempt, inTime);
            leaveWindow(attempt);
            if (!inTime && now - attempt.sentAt > SLOW_TARGET_SHARE * latencyTarget) {
                peerWarnings.warn(now, attempt.upstream);
            }
        }

        /** At least a minimum, at first twice as high: most sidecars that start find healthy upstreams. */
        private double currentWindow() {
            double min = MIN_WINDOW_PER_UPSTREAM
                    * Math.max(1, (double) registry.ready.size() / settings.sidecarCount());
            return Math.max(attemptWindow, initialGrowth ? 2 * min : min);
        }

        /** Grows a half-used window at a healthy in-time ratio; else a late attempt shrinks it. */
        private void resizeWindow(long now, Attempt attempt, boolean inTime) {
            boolean healthy = INVERSE_HEALTHY_RATIO * (recentInTime.value(now) + PRIOR_IN_TIME)
                    >= recentAttempts.value(now) + PRIOR_IN_TIME;
            double current = currentWindow();
            if (inTime && healthy && 2 * attemptsInWindow >= current) {
                attemptWindow = current + (initialGrowth ? 1 : Math.min(0.2 * current, 1 / current));
            } else if (!inTime && !healthy && attempt.sentAt >= windowReducedAt) {
                attemptWindow = 0.8 * Math.min(current, attemptsInWindow);
                initialGrowth = false;
                windowReducedAt = now;
            }
        }

        /** Removes the attempt from the attempt window. */
        void leaveWindow(Attempt attempt) {
            if (!attempt.leftWindow) {
                attempt.leftWindow = true;
                attemptsInWindow--;
            }
        }

        /** Under overload, a retry would displace the first attempt of another request. */
        boolean isRetryWorthwhile(long now, PendingRequest pending) {
            return now < pending.latencyTargetAt && shedProbability(now) < 0.8;
        }

        long retryAfter(PendingRequest pending) {
            return settings.capabilities().retryAfter()
                    ? Math.min(settings.capabilities().maxRetryAfter(), pending.latencyTarget / 2) : 0;
        }
    }

    /**
     * Exchanges warnings with the other sidecars, where peer messages are possible. With hundreds of
     * upstreams and sidecars, each sidecar uses a given upstream only every few seconds: its own evidence
     * comes too late and costs each sidecar late attempts. So each sidecar reports upstreams that kept an
     * attempt past its latency target. A lost warning is one sidecar's evidence less; trial attempts correct
     * a wrong one.
     */
    private final class PeerWarnings {
        private static final double MAX_COST_SHARE = 0.01;  // of the total value, spent on peer messages
        private static final int MAX_MESSAGE_BYTES = 256;
        /** Charged per message besides its bytes, so a short budget sends several ids in one message. */
        private static final int MESSAGE_OVERHEAD_BYTES = 8;
        private static final int MAX_IDS_PER_MESSAGE = 4;
        private static final double MIN_SUSPECT_WARNINGS = 3;  // above twice the average: no longer chance
        private final boolean enabled = settings.capabilities().peers() && settings.sidecarCount() > 1;
        /** What each attempt adds to the message budget; a message is charged once for every receiver. */
        private final double bytesPerAttempt = settings.costs().peerMessage() == 0 ? MAX_MESSAGE_BYTES
                : MAX_COST_SHARE * MAX_MESSAGE_BYTES / (settings.costs().peerMessage()
                        * Math.max(1, settings.sidecarCount() - 1));
        /** Four latency targets, in ns: covers the turns of several sidecars, and is shorter than a fault. */
        private final double window = 4.0 * settings.classes().stream().mapToLong(RequestClass::latencyTarget)
                .min().orElse(1);
        private final DecayingSum allWarnings = newCounter();
        private Map<Integer, TrackedUpstream> upstreamsByHash = Map.of();
        private final ArrayDeque<Integer> unsentHashes = new ArrayDeque<>(MAX_IDS_PER_MESSAGE);
        private double byteBudget;  // message budget: bytes that may be sent now

        DecayingSum newCounter() {
            return new DecayingSum(window, 0);
        }

        /** Messages identify an upstream by the hash of its id: four bytes, the same at every sidecar. */
        void setUpstreams(List<TrackedUpstream> ready) {
            upstreamsByHash = new HashMap<>(2 * ready.size());
            ready.forEach(upstream -> upstreamsByHash.put(Long.hashCode(upstream.entry.id()), upstream));
        }

        void attemptSent() {
            byteBudget = Math.min(MAX_MESSAGE_BYTES, byteBudget + bytesPerAttempt);
        }

        void warn(long now, TrackedUpstream upstream) {
            if (!enabled) {
                return;
            }
            count(now, upstream);
            if (unsentHashes.size() == MAX_IDS_PER_MESSAGE) {
                unsentHashes.remove();
            }
            unsentHashes.add(Long.hashCode(upstream.entry.id()));
            int bytes = MESSAGE_OVERHEAD_BYTES + Integer.BYTES * unsentHashes.size();
            if (byteBudget >= bytes) {
                byteBudget -= bytes;
                ByteBuffer hashes = ByteBuffer.allocate(Integer.BYTES * unsentHashes.size());
                unsentHashes.forEach(hashes::putInt);
                unsentHashes.clear();
                actions.sendToPeer(Actions.ALL_PEERS, hashes.array());
            }
        }

        void messageReceived(long now, byte[] message) {
            for (ByteBuffer hashes = ByteBuffer.wrap(message); hashes.remaining() >= Integer.BYTES;) {
                TrackedUpstream upstream = upstreamsByHash.get(hashes.getInt());
                if (upstream != null) {
                    count(now, upstream);
                }
            }
        }

        private void count(long now, TrackedUpstream upstream) {
            upstream.warnings.add(now, 1);
            allWarnings.add(now, 1);
        }

        /** Whether an upstream has far more warnings than average; a common fault makes none a suspect. */
        boolean isSuspect(long now, TrackedUpstream upstream) {
            double threshold = MIN_SUSPECT_WARNINGS
                    + 2 * allWarnings.value(now) / Math.max(1, registry.ready.size());
            upstream.suspect = upstream.warnings.value(now) > (upstream.suspect ? threshold / 2 : threshold);
            return upstream.suspect;
        }
    }

    /**
     * Sends load probes before an attempt, where upstreams report their requests in flight and probes cost
     * next to nothing. With hundreds of sidecars, nearly all work of an upstream comes from others: this
     * sidecar's own counts do not show it, and a busy upstream gets as many turns as an idle one. Of the next
     * few upstreams in turn, those that report more than is usual or do not respond are excluded, and
     * {@link RoundRobin} picks among the others. A result is used for one request only.
     */
    private final class LoadProber {
        private static final int PROBES_PER_REQUEST = 5;  // enough that they are rarely all busy
        private static final double MAX_COST_SHARE = 0.01;  // of the total value, spent on probes
        /** Probe timeout as a part of the latency target; healthy upstreams do not queue probes. */
        private static final int PROBE_TIMEOUT_DIVISOR = 20;
        private final int inFlightField = settings.reportFields().indexOf("rif");
        private final boolean affordable = inFlightField >= 0 && settings.capabilities().probes()
                && settings.costs().probe() * PROBES_PER_REQUEST <= MAX_COST_SHARE;
        /** Share of the latency target that requests in flight may take; the rest is for their variance. */
        private static final double MAX_TARGET_SHARE = 0.6;
        private double usualInFlight;  // moving average of the reports
        private double nanosPerRequest;  // moving average per request in flight

        /** With no more sidecars than upstreams, this sidecar's counts show enough of upstreams' load. */
        boolean isEnabled() {
            return affordable && settings.sidecarCount() > registry.ready.size();
        }

        /** Probes the next upstreams in turn; true if the request waits for their results. */
        boolean probeBeforeSend(long now, PendingRequest pending) {
            if (!isEnabled() || pending.probesSent) {
                return false;
            }
            pending.probesSent = true;
            pending.probed = roundRobin.nextEligible(now, pending, PROBES_PER_REQUEST);
            for (TrackedUpstream upstream : pending.probed) {
                upstream.reportedInFlight = Double.MAX_VALUE;
                upstream.probingRequests.add(pending);
                actions.probe(upstream.entry.id());
            }
            pending.probesLeft = pending.probed.size();
            timerQueue.schedule(now + pending.latencyTarget / PROBE_TIMEOUT_DIVISOR,
                    at -> probesEnded(at, pending, pending.probesLeft));
            return pending.probesLeft > 0;
        }

        void probeEnded(long now, TrackedUpstream upstream, Outcome outcome, float[] load) {
            if (outcome == Outcome.OK && load.length > inFlightField && inFlightField >= 0) {
                upstream.reportedInFlight = load[inFlightField];
                usualInFlight += 0.05 * (upstream.reportedInFlight - usualInFlight);
            }
            List<PendingRequest> waiting = List.copyOf(upstream.probingRequests);
            upstream.probingRequests.clear();
            waiting.forEach(pending -> probesEnded(now, pending, 1));
        }

        /** After the last result or the timeout, admits the request, or refuses it if all are overloaded. */
        private void probesEnded(long now, PendingRequest pending, int count) {
            if (pending.probesLeft == 0 || (pending.probesLeft -= count) > 0 || pending.finished) {
                return;
            }
            double lowest = Double.MAX_VALUE;
            for (TrackedUpstream upstream : pending.probed) {
                lowest = Math.min(lowest, upstream.reportedInFlight);
            }
            double maxReported = MAX_TARGET_SHARE * pending.latencyTarget / Math.max(1, nanosPerRequest) - 1;
            if (lowest == Double.MAX_VALUE) {
                pending.probed = List.of();
            } else if (lowest > Math.max(usualInFlight, maxReported)) {
                tracker.refuseOrFail(pending, FailureReason.CROWDED);
                return;
            }
            pending.maxReportedInFlight = lowest <= usualInFlight ? usualInFlight : maxReported;
            admission.admit(now, pending);
        }

        /** Learns the duration per request in flight at the upstream, this one included. */
        void recordDuration(Attempt attempt, double duration) {
            if (attempt.reportedInFlightBefore < Double.MAX_VALUE) {
                double perRequest = duration / (attempt.reportedInFlightBefore + 1);
                nanosPerRequest += (nanosPerRequest == 0 ? 1 : 0.05) * (perRequest - nanosPerRequest);
            }
        }

        boolean excludes(TrackedUpstream upstream, PendingRequest pending) {
            return !pending.probed.isEmpty() && (upstream.reportedInFlight > pending.maxReportedInFlight
                    || !pending.probed.contains(upstream));
        }
    }
}
