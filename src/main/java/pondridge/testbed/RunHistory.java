package pondridge.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/** All that the testbed's parties saw in one run, for the invariants to be checked on. */
final class RunHistory {
    /** The list's word on an upstream: when it became so, and when it counts as told. */
    record ListEvent(String upstream, State state, long happenedAt, long toldAt) { }

    /** What the list says of an upstream; STARTED is a new start, with the upstream cold. */
    enum State { STARTED, DRAINING, REMOVED }

    /** What a silent watch misses counts as told so long after it fell silent (standing test). */
    private static final long SILENCE_COUNTS_NS = 6_000_000_000L;

    /** Whatever discovery has to tell counts as told so long after a new configuration (TERMS). */
    private static final long MOVE_COUNTS_NS = 4_000_000_000L;

    /** What the list says before this time counts as told then. */
    private volatile long listsCountAt = System.nanoTime();
    private final Map<String, RequestRecord> requests = new ConcurrentHashMap<>();
    private final Map<String, Queue<AttemptRecord>> attempts = new ConcurrentHashMap<>();
    private final Queue<ListEvent> listEvents = new ConcurrentLinkedQueue<>();
    private final Queue<Violation> observed = new ConcurrentLinkedQueue<>();
    private final AtomicLong attemptNumbers = new AtomicLong();

    void add(RequestRecord request) {
        requests.put(request.id, request);
    }

    long nextAttemptNumber() {
        return attemptNumbers.incrementAndGet();
    }

    void add(AttemptRecord attempt) {
        attempts.computeIfAbsent(attempt.requestId(), id -> new ConcurrentLinkedQueue<>()).add(attempt);
    }

    /** Takes that discovery has told a change; watches that fell silent tell it within 6 s of that. */
    void told(String upstream, State state) {
        long now = System.nanoTime();
        long toldAt = now + Math.max(0, listsCountAt - now);
        listEvents.add(new ListEvent(upstream, state, now, toldAt));
    }

    /** Takes that the watches which are open now have fallen silent. */
    void watchesSilenced() {
        countListsAt(System.nanoTime() + SILENCE_COUNTS_NS);
    }

    /** Takes that discovery has moved and the sidecars have been told by a signal. */
    void discoveryMoved() {
        countListsAt(System.nanoTime() + MOVE_COUNTS_NS);
    }

    private synchronized void countListsAt(long at) {
        listsCountAt = Math.max(listsCountAt, at);
    }

    /** Takes a violation that one of the parties saw by itself. */
    void report(Violation violation) {
        observed.add(violation);
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
        Queue<AttemptRecord> known = attempts.get(requestId);
        if (known != null) {
            found.addAll(known);
        }
        found.sort((a, b) -> Long.compare(a.number(), b.number()));
        return found;
    }

    List<AttemptRecord> attempts() {
        return attempts.values().stream().flatMap(Queue::stream).toList();
    }

    boolean forwarded(String requestId) {
        return attempts.containsKey(requestId);
    }

    List<ListEvent> listEvents() {
        return List.copyOf(listEvents);
    }

    List<Violation> observed() {
        return List.copyOf(observed);
    }
}
