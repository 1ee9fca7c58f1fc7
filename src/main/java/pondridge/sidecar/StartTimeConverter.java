package pondridge.sidecar;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Converts the start times of upstreams, which the list gives in wall-clock time, to the sidecar's monotonic
 * clock. The wall clock may have been stepped, here or at discovery, between an upstream's start and the
 * arrival of the list. Each offset seen between the two clocks is remembered, and the one that gives the
 * latest start time is used: treating a warm upstream as cold for too long costs less than overloading a cold
 * one. Used on the event loop only.
 */
final class StartTimeConverter {
    private static final long NANOS_PER_MS = 1_000_000;
    /** A smaller change of the offset comes from reading the two clocks at different times. */
    private static final long MIN_STEP_NANOS = 200 * NANOS_PER_MS;
    /** A start time up to this far ahead of now is explained by rounding and delays, and counts as now. */
    private static final long MAX_AHEAD_NANOS = 1_000 * NANOS_PER_MS;
    private static final int MAX_OFFSETS = 64;

    /** One start of an upstream, by the wall clock and by the monotonic clock. */
    private record KnownStart(long startedAtWallMs, long startedAtNanos) { }

    /** Wall-clock time minus monotonic time in nanoseconds; the oldest first. */
    private final List<Long> offsets = new ArrayList<>();
    /** The last start of each upstream, by its id. */
    private final Map<Long, KnownStart> starts = new HashMap<>();

    /**
     * Remembers the offset between the two clocks, and logs a step to a new one. Has to be called so often
     * that no offset is missed.
     *
     * @param now monotonic time in nanoseconds
     * @param wallMs wall-clock time in milliseconds
     */
    void observe(long now, long wallMs) {
        long offset = wallMs * NANOS_PER_MS - now;
        if (offsets.stream().anyMatch(known -> Math.abs(known - offset) <= MIN_STEP_NANOS)) {
            return;
        }
        if (!offsets.isEmpty()) {
            System.err.println("clock: stepped by "
                    + (offset - offsets.get(offsets.size() - 1)) / NANOS_PER_MS + " ms");
        }
        if (offsets.size() == MAX_OFFSETS) {
            offsets.remove(0);
        }
        offsets.add(offset);
    }

    /**
     * Returns when an upstream started, in nanoseconds of the monotonic clock, or 0 for long ago. The result
     * for one start stays the same, and that for a later start of the same upstream is later, even if the
     * wall clock was stepped in between.
     *
     * @param startedAtWallMs wall-clock time of the start in milliseconds, or 0 for long ago
     */
    long startedAt(long upstream, long startedAtWallMs, long now) {
        if (startedAtWallMs == 0) {
            return 0;
        }
        KnownStart known = starts.get(upstream);
        if (known != null && known.startedAtWallMs() == startedAtWallMs) {
            return known.startedAtNanos();
        }
        long startedAtNanos = latestPossibleStart(startedAtWallMs, now);
        if (known != null) {
            startedAtNanos = Math.max(startedAtNanos, known.startedAtNanos() + 1);
        }
        starts.put(upstream, new KnownStart(startedAtWallMs, startedAtNanos));
        return startedAtNanos;
    }

    private long latestPossibleStart(long startedAtWallMs, long now) {
        long latest = Long.MIN_VALUE;
        for (long offset : offsets) {
            long startedAtNanos = startedAtWallMs * NANOS_PER_MS - offset;
            if (startedAtNanos <= now + MAX_AHEAD_NANOS) {
                latest = Math.max(latest, Math.min(startedAtNanos, now));
            }
        }
        return latest == Long.MIN_VALUE ? now : latest;
    }

    /** Removes what is known of upstreams that have left the list. */
    void forget(Collection<Long> upstreams) {
        starts.keySet().removeAll(upstreams);
    }
}
