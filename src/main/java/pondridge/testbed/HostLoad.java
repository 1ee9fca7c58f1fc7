package pondridge.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Measures how much the machine held up the testbed's own process during a run: how late a thread that only
 * sleeps wakes up, and the processor time that the machine's host took away.
 */
final class HostLoad implements AutoCloseable {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long SLEEP_MS = 2;
    private static final long LONG_STALL_MS = 20;
    /** The unit of the times in /proc/stat, on every Linux platform of the JDK. */
    private static final long MS_PER_TICK = 10;
    /** The column of the stolen time in the first line of /proc/stat, whose column 0 is a name. */
    private static final int STEAL_COLUMN = 8;

    private final long stealAtStartMs = stealMs();
    private volatile boolean closed;
    private volatile long maxStallMs;
    private volatile int longStalls;

    /** Starts to measure, on a thread of its own. */
    HostLoad() {
        LoopbackServer.startThread("host-load", this::measureStalls);
    }

    private void measureStalls() {
        while (!closed) {
            long sleptSince = System.nanoTime();
            StubUpstream.sleep(SLEEP_MS);
            long stallMs = (System.nanoTime() - sleptSince) / NANOS_PER_MS - SLEEP_MS;
            maxStallMs = Math.max(maxStallMs, stallMs);
            if (stallMs >= LONG_STALL_MS) {
                longStalls++;
            }
        }
    }

    /** The processor time that the host has taken since the machine's start, or 0 if that is not known. */
    private static long stealMs() {
        try {
            String[] columns = Files.readAllLines(Path.of("/proc/stat")).get(0).split("\\s+");
            return Long.parseLong(columns[STEAL_COLUMN]) * MS_PER_TICK;
        } catch (IOException e) {
            return 0;
        }
    }

    /** What has been measured so far, in one line. */
    String describe() {
        return "testbed stalled for up to " + maxStallMs + " ms, " + longStalls + " times for "
                + LONG_STALL_MS + " ms or more; the host took " + (stealMs() - stealAtStartMs)
                + " ms of processor time";
    }

    @Override
    public void close() {
        closed = true;
    }
}
