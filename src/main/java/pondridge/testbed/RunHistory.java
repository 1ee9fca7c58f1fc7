package pondridge.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What clients, upstreams and discovery recorded in one run. Their threads record concurrently;
 * {@link InvariantChecker} checks the invariants on the records afterwards.
 */
final class RunHistory {
    /**
     * One change of an upstream's entry in discovery's list. Times are values of {@link System#nanoTime}.
     * Reports show the components under their own names.
     *
     * @param toldAt when the sidecars must know of the change at the latest
     */
    record ListEvent(String upstream, State state, long happenedAt, long toldAt) { }

    /** What the list says of an upstream; STARTED means that it has restarted and is cold. */
    enum State { STARTED, DRAINING, REMOVED }

    /** How long after a watch falls silent the sidecars must know the current list. */
    private static final long MAX_UPDATE_DELAY_AFTER_SILENCE_NANOS = 6_000_000_000L;

    /** How long after discovery moves to another address the sidecars must know the current list. */
    private static final long MAX_UPDATE_DELAY_AFTER_MOVE_NANOS = 4_000_000_000L;

    /** Until this time, the sidecars need not know changes of the list. */
    private volatile long updatesDueAt = System.nanoTime();
    private final Map<String, RequestRecord> requests = new ConcurrentHashMap<>();
    private final Map<String, Queue<AttemptRecord>> attempts = new ConcurrentHashMap<>();
    private final Queue<ListEvent> listEvents = new ConcurrentLinkedQueue<>();
    private final Queue<Violation> observedViolations = new ConcurrentLinkedQueue<>();
    private final AtomicLong lastAttemptNumber = new AtomicLong();

    void add(RequestRecord request) {
        requests.put(request.id, request);
    }

    long nextAttemptNumber() {
        return lastAttemptNumber.incrementAndGet();
    }

    void add(AttemptRecord attempt) {
        attempts.computeIfAbsent(attempt.requestId(), id -> new ConcurrentLinkedQueue<>()).add(attempt);
    }

    /**
     * Records that discovery has sent a change of its list. The sidecars must know it at once; but if watches
     * fell silent in the last 6 s, or discovery moved in the last 4 s, when that time has passed.
     */
    void listUpdated(String upstream, State state) {
        long now = System.nanoTime();
        long toldAt = now + Math.max(0, updatesDueAt - now);
        listEvents.add(new ListEvent(upstream, state, now, toldAt));
    }

    /** Adds a change of the list whose times are known. */
    void add(ListEvent event) {
        listEvents.add(event);
    }

    /** Records that the watches that are open now send nothing any more. */
    void watchesSilenced() {
        postponeUpdates(System.nanoTime() + MAX_UPDATE_DELAY_AFTER_SILENCE_NANOS);
    }

    /** Records that discovery moves to another address, which the sidecars learn by a reload. */
    void discoveryMoved() {
        postponeUpdates(System.nanoTime() + MAX_UPDATE_DELAY_AFTER_MOVE_NANOS);
    }

    private synchronized void postponeUpdates(long at) {
        updatesDueAt = Math.max(updatesDueAt, at);
    }

    /** Records a violation that was observed during the run. */
    void report(Violation violation) {
        observedViolations.add(violation);
    }

    RequestRecord request(String id) {
        return requests.get(id);
    }

    List<RequestRecord> requests() {
        return List.copyOf(requests.values());
    }

    /** The attempts of a request, in the order of their numbers. */
    List<AttemptRecord> attempts(String requestId) {
        List<AttemptRecord> found = new ArrayList<>();
        Queue<AttemptRecord> recorded = attempts.get(requestId);
        if (recorded != null) {
            found.addAll(recorded);
        }
        found.sort((a, b) -> Long.compare(a.number(), b.number()));
        return found;
    }

    List<AttemptRecord> attempts() {
        return attempts.values().stream().flatMap(Queue::stream).toList();
    }

    /** Whether the request reached any upstream. */
    boolean wasForwarded(String requestId) {
        return attempts.containsKey(requestId);
    }

    List<ListEvent> listEvents() {
        return List.copyOf(listEvents);
    }

    /** The violations that were observed during the run. */
    List<Violation> observedViolations() {
        return List.copyOf(observedViolations);
    }
}
