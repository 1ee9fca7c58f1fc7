package pondridge.sidecar;

/**
 * Estimates how long the event loop may stall, from its recent stalls. During a stall, received requests are
 * not read and responses are not written. Used on the event loop only.
 */
final class StallEstimator {
    /** Estimate at start: just-in-time compilation stalls the first requests, and no stall was seen yet. */
    private static final long INITIAL_STALL_NANOS = 50_000_000;
    /** In this time, the weight of a stall is halved. */
    private static final double HALF_LIFE_NANOS = 2e9;

    /** Duration of the stall that the estimate is based on, not decayed. */
    private long longestNanos = INITIAL_STALL_NANOS;
    /** When that stall ended; 0 before the first call. */
    private long longestAt;

    /** Records a stall, a period of work during which the sockets were not polled. */
    void stallEnded(long now, long durationNanos) {
        if (durationNanos >= estimateNanos(now)) {
            longestNanos = durationNanos;
            longestAt = now;
        }
    }

    /** Returns the longest recent stall in nanoseconds, decayed by its age. */
    long estimateNanos(long now) {
        if (longestAt == 0) {
            longestAt = now;
        }
        return (long) (longestNanos * Math.pow(0.5, (now - longestAt) / HALF_LIFE_NANOS));
    }
}
