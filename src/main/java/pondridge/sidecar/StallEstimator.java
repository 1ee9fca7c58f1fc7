package pondridge.sidecar;

/**
 * How long the loop has lately been busy in one go: as long may bytes have lain unread, or answers unwritten.
 */
final class StallEstimator {
    /** A program just started is still being compiled: first requests meet stalls that none has shown yet. */
    private static final long FIRST = 50_000_000;
    /** A stall counts by half after this time. */
    private static final double HALF = 2e9;

    private long worst = FIRST;
    private long at;

    /** One stretch of work without a look at the sockets has ended. */
    void lasted(long now, long time) {
        if (time >= recent(now)) {
            worst = time;
            at = now;
        }
    }

    /** The worst of late; older ones count less. */
    long recent(long now) {
        if (at == 0) {
            at = now;
        }
        return (long) (worst * Math.pow(0.5, (now - at) / HALF));
    }
}
