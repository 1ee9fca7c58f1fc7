package pondridge.testbed;

/**
 * One attempt: a request that arrived in full at an upstream. Times are values of {@link System#nanoTime}.
 * Reports show the components under their own names.
 *
 * @param number unique among all attempts of a run; the response's body carries it back to the client
 * @param firstByteAt when the upstream read the first byte; on a busy machine long after it was sent
 * @param toldMs the deadline in the header {@code Req-Deadline-Ms}, in milliseconds, or -1 without the header
 * @param declined whether the upstream rejected the attempt: its response says that it was not processed
 * @param port the local port of the sidecar's connection
 */
record AttemptRecord(long number, String requestId, String upstream, long firstByteAt, long lastByteAt,
        long toldMs, boolean declined, int port) { }
