package pondridge;

import java.util.List;

/**
 * Load balancer of one sidecar: decides which upstream each attempt of a request goes to, when a request is
 * retried, queued or shed, and which upstreams are ejected. It does no I/O. A host, for example a sidecar
 * process or a simulator, reports events by calling the methods of this interface and carries out the
 * {@link Actions} that the balancer calls in response. {@link Settings} configures it; {@link Rules}
 * implements it.
 *
 * <p><b>Threads.</b> An instance is not thread-safe: the host calls all methods from one thread. The balancer
 * calls actions only on that thread and only while it handles an event. The host must not report an event
 * from within an action.
 *
 * <p><b>Time.</b> Every event carries the current time {@code now}, in nanoseconds of one monotonic clock
 * with an arbitrary origin. It never decreases from one event to the next. All times and durations of this
 * interface are in nanoseconds. The balancer reads no clock of its own.
 *
 * <p><b>Contract of the host.</b>
 * <ul>
 * <li>{@link #start} is the first event, and {@link #listUpdated} with a {@link ListUpdateType#CACHED} list
 * the second.
 * <li>Request ids are never reused.
 * <li>The attempts of a request are numbered 0, 1, 2, ... in the order of the {@link Actions#send} calls.
 * Every send is followed by exactly one {@link #attemptEnded}, even if the request has finished before.
 * <li>A timer fires at or after its time, never during the call that sets it.
 * <li>After a restart of the sidecar the host creates a new instance with a new seed.
 * </ul>
 *
 * <p><b>Contract of the balancer.</b>
 * <ul>
 * <li>Actions take effect at the time of the event that is being handled, in the order of the calls.
 * <li>Each request gets exactly one final response, unless its client disconnects before: the first
 * {@link Outcome#OK}, which the host passes on to the client, or {@link Actions#refuse}, or
 * {@link Actions#fail}. It comes no later than the request's deadline plus {@link Limits#answerSlack()}.
 * <li>The same settings, seed and events result in the same actions.
 * <li>Events about requests, attempts or upstreams that the balancer does not know any more are ignored.
 * </ul>
 *
 * <p>Invalid settings are rejected with an {@link IllegalArgumentException} that names the setting.
 */
public interface Balancer {

    /** How an attempt ended. */
    enum Outcome {
        /** A successful response; the first one finishes the request. */
        OK(false),
        /** The upstream responded with an error, possibly after it had processed the attempt. */
        ERROR(false),
        /** The upstream reports that it did not process the attempt: its queue is full, or it is draining. */
        REJECTED(true),
        /** No response in time; the upstream may have processed the attempt or may still do so. */
        TIMEOUT(false),
        /** No connection in time: the upstream is down or unreachable, or its connection table is full. */
        CONNECT_FAILED(true),
        /** The connection broke during the attempt. */
        RESET(false),
        /** Cancelled by {@link Actions#cancel}. */
        CANCELLED(false),
        /**
         * Not sent by the host: the request had finished, it had no attempt or no time left, or the host
         * itself could not open a connection.
         */
        NEVER_SENT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Whether this outcome proves that the upstream did not process the attempt. */
        public boolean provesNeverRan() {
            return neverRan;
        }
    }

    /**
     * Which retries a request class allows after an attempt that may have been processed. REPEATABLE: any;
     * BY_KEY: those to an upstream that recognizes the request's key, see {@link KeyScope}; ONCE: none.
     */
    enum Semantics { REPEATABLE, BY_KEY, ONCE }

    /** Which upstreams recognize a key and drop its repeats: all, those of the zone, or those of the cell. */
    enum KeyScope { ALL, ZONE, CELL }

    /** Why a request was refused or failed. Hosts write it to their logs. */
    enum FailureReason {
        /** Its deadline has passed. */
        DEADLINE,
        /** No upstream is ready. */
        NO_UPSTREAM,
        /** Shed, as too few recent attempts were in time. */
        SHED,
        /** When it arrived, a response within its latency target was already unlikely. */
        TOO_LATE,
        /** Queued until a response within its latency target became unlikely. */
        HELD,
        /** All probed upstreams are overloaded. */
        CROWDED,
        /** An attempt failed, and a retry is not allowed or not worthwhile. */
        ATTEMPT_FAILED
    }

    /** State of a listed upstream. Only READY ones get attempts; GONE ones have left the list. */
    enum UpstreamState { GONE, READY, DRAINING }

    /**
     * Type of a list update: only the changed entries, all entries, the last list known before the start, or
     * no list because a call to the discovery service failed.
     */
    enum ListUpdateType { DELTA, FULL, CACHED, FAILED }

    /** Whether list updates arrive on their own or have to be requested with {@link Actions#subscribe}. */
    enum DiscoveryMode { AUTOMATIC, SUBSCRIBE }

    /** Meaning of {@link Upstream#weight()}: SILENT is always 1, LIVE changes with the upstream's load. */
    enum WeightMode { SILENT, NOMINAL, ROUGH, LIVE }

    /**
     * A class of requests.
     *
     * @param latencyTarget a response within this time has the full value
     * @param latencyTargetCostFactor the latency target increases by this factor times the request's cost
     *     hint, up to the deadline
     * @param deadline the longest time that a client waits, including all its retries
     * @param value value of a response within the latency target
     * @param lateValueShare share of the value that a response between latency target and deadline has
     * @param semantics which retries are allowed
     * @param scope with BY_KEY: which upstreams recognize a key
     * @param keyTtl with BY_KEY: how long a key is recognized, from the first send that may have been
     *     processed
     * @param streaming the response is streamed; {@link Balancer#firstByte} reports its start
     */
    record RequestClass(long latencyTarget, double latencyTargetCostFactor, long deadline, double value,
            double lateValueShare, Semantics semantics, KeyScope scope, long keyTtl, boolean streaming) {
        public RequestClass {
            require(latencyTarget > 0, "class aim");
            require(deadline >= latencyTarget, "class deadline");
            require(value >= 0 && Double.isFinite(value), "class worth");
            require(semantics != Semantics.BY_KEY || keyTtl >= 0 && scope != null, "class key scope and ttl");
        }
    }

    /**
     * A tenant of the service.
     *
     * @param share its share of the service
     * @param quotaPerSecond rate, over all sidecars, up to which its requests have their full value
     */
    record Tenant(double share, double quotaPerSecond) {
        public Tenant {
            require(share >= 0 && quotaPerSecond >= 0, "tenant portion and quota");
        }
    }

    /**
     * What the host supports; the balancer never calls an action that is not supported. {@link Rules} does
     * not use parallel attempts.
     *
     * @param cancel {@link Actions#cancel} is supported
     * @param probes {@link Actions#probe} is supported
     * @param peers {@link Actions#sendToPeer} is supported
     * @param parallelAttempts a request may have several attempts in flight
     * @param retryAfter a refusal may carry a retry-after time
     * @param maxAttempts limit of the attempts of one request, the first included
     * @param maxRetryAfter longest retry-after time
     * @param connectTimeout time within which the host opens a connection, or the attempt ends as
     *     {@link Outcome#CONNECT_FAILED}
     */
    record Capabilities(boolean cancel, boolean probes, boolean peers, boolean parallelAttempts,
            boolean retryAfter, int maxAttempts, long maxRetryAfter, long connectTimeout) {
        public Capabilities {
            require(maxAttempts >= 1, "try limit");
            require(maxRetryAfter >= 0 && connectTimeout >= 0, "retry-after and connect time-out");
        }
    }

    /**
     * What messages cost, as a share of the total value of all requests.
     *
     * @param probe cost of one load probe per request
     * @param peerMessage cost of one peer message of 256 bytes per request, for each receiver
     */
    record Costs(double probe, double peerMessage) {
        public Costs {
            require(probe >= 0 && peerMessage >= 0, "charges");
        }

        /** Probes and peer messages cost nothing. */
        public static final Costs NONE = new Costs(0, 0);
    }

    /**
     * Limits that the balancer keeps, and properties of the upstreams that it relies on.
     *
     * @param answerSlack how long after its deadline a request may get its final response
     * @param listRenewalInterval a subscription to the list is renewed within this time
     * @param drainGrace how long after it is listed as draining or gone an upstream may still get attempts
     * @param coldCapacityShare capacity of an upstream at its start, as a share of its full capacity; it
     *     rises linearly over the ramp time
     * @param rampTime duration of the slow start
     * @param overloadFactor a cold upstream collapses under this many times its present capacity
     * @param overloadWindow time over which the load of a cold upstream is measured for that
     */
    record Limits(long answerSlack, long listRenewalInterval, long drainGrace, double coldCapacityShare,
            long rampTime, double overloadFactor, long overloadWindow) {
        public Limits {
            require(answerSlack >= 0 && listRenewalInterval >= 0 && drainGrace >= 0, "rule times");
            require(coldCapacityShare > 0 && coldCapacityShare <= 1, "cold share");
            require(rampTime >= 0 && overloadWindow >= 0, "ramp and tip times");
            require(overloadFactor >= 1, "overload factor");
        }
    }

    /**
     * Settings of an instance. {@link Rules} does not read zone, weights, valueByWork and overQuotaValue, nor
     * {@link RequestClass#value}, {@link Tenant#share}, {@link Capabilities#connectTimeout},
     * {@link Limits#answerSlack} and {@link Limits#drainGrace}; hosts set them for other implementations.
     *
     * @param sidecarIndex index of this sidecar among {@code sidecarCount}, from 0 on
     * @param tickInterval shortest time between two events
     * @param tenants by {@link Request#tenant()}; empty if there is only one tenant
     * @param reportFields names of the values in a load report, in their order
     * @param valueByWork the value of a class is per unit of work, not per request
     * @param overQuotaValue value of a request beyond its tenant's quota, as a share of its class's value
     */
    record Settings(int sidecarIndex, int sidecarCount, int zone, long tickInterval, DiscoveryMode discovery,
            WeightMode weights, List<RequestClass> classes, List<Tenant> tenants, Capabilities capabilities,
            Limits limits, List<String> reportFields, Costs costs, boolean valueByWork,
            double overQuotaValue) {
        public Settings {
            require(sidecarCount >= 1 && sidecarIndex >= 0, "rank and replicas");
            require(tickInterval >= 0, "quantum");
            require(!classes.isEmpty(), "classes");
            require(overQuotaValue >= 0 && overQuotaValue <= 1, "over-share worth");
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
            reportFields = List.copyOf(reportFields);
        }
    }

    /**
     * Entry of the upstream list.
     *
     * @param id opaque; stable over restarts and the same at all sidecars that exchange peer messages
     * @param model machine type
     * @param cell group of upstreams that share their keys, see {@link KeyScope}
     * @param startedAt time of its last start; 0 if that was long ago
     */
    record Upstream(long id, int zone, int model, int cell, UpstreamState state, float weight,
            long startedAt) {
        /** A copy in state {@link UpstreamState#GONE}. */
        public Upstream gone() {
            return new Upstream(id, zone, model, cell, UpstreamState.GONE, weight, startedAt);
        }
    }

    /**
     * A request of a client. {@link Rules} does not read {@code key} and {@code write}.
     *
     * @param classIndex index in {@link Settings#classes()}
     * @param tenant index in {@link Settings#tenants()}
     * @param key identifies a keyed request to the upstreams, see {@link Semantics}
     * @param timeLeft time until the client stops waiting for this request
     * @param responseReserve last part of {@code timeLeft}, which the host needs for itself: the final
     *     response is due before it
     * @param costHint estimated work of the request, in nanoseconds; 0 if unknown
     * @param clientRetry the client marked the request as a client retry
     * @param write the request may change data
     */
    record Request(long id, int classIndex, int tenant, long key, long timeLeft, long responseReserve,
            long costHint, boolean clientRetry, boolean write) {
        public Request {
            require(responseReserve >= 0, "request reserve");
        }
    }

    /** Actions of the balancer. The host carries out each at the time of the event that is being handled. */
    interface Actions {
        /** Starts the request's next attempt; a timeout of 0 lasts until the client stops waiting. */
        void send(long request, long upstream, long timeout);

        /** Final response: refused, a client retry is safe. With {@code retryAfter} 0 the host sends none. */
        void refuse(long request, long retryAfter, FailureReason reason);

        /** Final response: failed; it is not known whether the request was processed. */
        void fail(long request, FailureReason reason);

        /** Cancels one attempt. */
        void cancel(long request, int attempt);

        /**
         * Requests {@link Balancer#timerFired} with this token at or after a time. Replaces the timer set
         * before, which the host may cancel or let fire.
         */
        void setTimer(long token, long at);

        /** Requests the load of an upstream, see {@link Balancer#probeResult}. */
        void probe(long upstream);

        /** Closes the idle connections to an upstream. */
        void closeIdleConnections(long upstream);

        /** Sends up to 256 bytes to a peer (a sidecar index) or {@link #ALL_PEERS}; messages may be lost. */
        void sendToPeer(int peer, byte[] message);

        /** Writes a line to the log. */
        void log(String line);

        /** Starts or ends the subscription to list updates; results in one list update. */
        void subscribe(boolean on);

        /** Requests the whole list once; results in one list update. */
        void fetchList();

        /** Receiver of a message to all peers. */
        int ALL_PEERS = 0xffff;
    }

    /** The first event. */
    void start(long now);

    /** The upstream list changed; {@code entries} is empty for {@link ListUpdateType#FAILED}. */
    void listUpdated(long now, ListUpdateType type, List<Upstream> entries);

    /** A request of a client has arrived. */
    void requestArrived(long now, Request request);

    /**
     * A streamed response has begun. The host passes it on to the client: from now on, the balancer neither
     * cancels the attempt nor ends the request at its deadline.
     */
    void firstByte(long now, long request, int attempt, long upstream, long elapsed);

    /**
     * An attempt has ended.
     *
     * @param elapsed time since its send
     * @param requestFinished the request has finished, by this outcome or before
     * @param load the upstream's load report, in the order of {@link Settings#reportFields()}; may be empty
     */
    void attemptEnded(long now, long request, int attempt, long upstream, Outcome outcome, long elapsed,
            boolean requestFinished, float[] load);

    /** The client has closed its connection before it got the final response. */
    void clientDisconnected(long now, long request);

    /** A timer set by {@link Actions#setTimer} fires. */
    void timerFired(long now, long token);

    /** A load probe has ended; {@code load} is as in {@link #attemptEnded}. */
    default void probeResult(long now, long upstream, Outcome outcome, long elapsed, float[] load) { }

    /** A message from another sidecar has arrived; {@code from} is the sender's sidecar index. */
    default void peerMessageReceived(long now, int from, byte[] message) { }

    /** One line for operators: the present state, and the outcomes of attempts since the previous call. */
    String describeState(long now);

    private static void require(boolean valid, String setting) {
        if (!valid) {
            throw new IllegalArgumentException("setting makes no sense: " + setting);
        }
    }
}
