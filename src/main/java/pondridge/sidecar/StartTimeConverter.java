package pondridge.sidecar;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Turns the list's start times, which are wall-clock times, into times of the sidecar's own clock, which
 * never steps. The wall clock may have stepped between a start and its telling, here or where the list is
 * made: of all offsets between the two clocks that were seen, the one counts that makes the upstream
 * youngest, since one taken for cold too long costs less than one that is flooded.
 */
final class StartTimeConverter {
    private static final long NANOS_PER_MS = 1_000_000;
    /** Differences up to this are the reading's own, not a step. */
    private static final long STEP_NS = 200 * NANOS_PER_MS;
    /** So far ahead of now a start may seem, by rounding and delays, and still be one of just now. */
    private static final long AHEAD_NS = 1_000 * NANOS_PER_MS;
    private static final int MOST_OFFSETS = 64;

    private record Start(long bootMs, long at) { }

    private final List<Long> offsets = new ArrayList<>();
    private final Map<Long, Start> starts = new HashMap<>();

    /** Takes one reading of both clocks; often enough, so that no offset is missed. */
    void observe(long now, long wallMs) {
        long offset = wallMs * NANOS_PER_MS - now;
        if (offsets.stream().anyMatch(seen -> Math.abs(seen - offset) <= STEP_NS)) {
            return;
        }
        if (!offsets.isEmpty()) {
            System.err.println("clock: stepped by "
                    + (offset - offsets.get(offsets.size() - 1)) / NANOS_PER_MS + " ms");
        }
        if (offsets.size() == MOST_OFFSETS) {
            offsets.remove(0);
        }
        offsets.add(offset);
    }

    /**
     * When an upstream started, on the sidecar's clock; 0 for long ago. The same start gives the same time,
     * and a later start a later one, whatever the wall clock did in between.
     */
    long startedAt(long upstream, long bootMs, long now) {
        if (bootMs == 0) {
            return 0;
        }
        Start known = starts.get(upstream);
        if (known != null && known.bootMs() == bootMs) {
            return known.at();
        }
        long at = youngest(bootMs, now);
        if (known != null) {
            at = Math.max(at, known.at() + 1);
        }
        starts.put(upstream, new Start(bootMs, at));
        return at;
    }

    private long youngest(long bootMs, long now) {
        long youngest = Long.MIN_VALUE;
        for (long offset : offsets) {
            long at = bootMs * NANOS_PER_MS - offset;
            if (at <= now + AHEAD_NS) {
                youngest = Math.max(youngest, Math.min(at, now));
            }
        }
        return youngest == Long.MIN_VALUE ? now : youngest;
    }

    /** Keeps nothing of upstreams that have left the list. */
    void forget(Collection<Long> upstreams) {
        starts.keySet().removeAll(upstreams);
    }
}
