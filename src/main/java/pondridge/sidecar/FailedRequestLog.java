package pondridge.sidecar;

import java.io.PrintStream;
import java.util.List;
import java.util.function.Supplier;
import pondridge.Balancer.Outcome;

/**
 * One line in the log for each request that ended badly, by its id. In trouble these are most requests: so
 * many lines a second are written and no more, and the next one says how many were left out.
 */
final class FailedRequestLog {
    private static final int MOST_A_SECOND = 20;
    private static final long SECOND = 1_000_000_000;
    private static final long MS = 1_000_000;
    private static final int LONGEST_WORD = 64;

    /** One attempt, told to operators by the name that every sidecar has for the upstream. */
    static final class AttemptLogEntry {
        private final String upstream;
        private final long sentAt;
        private Outcome outcome;
        private long took;

        AttemptLogEntry(String upstream, long sentAt) {
            this.upstream = upstream;
            this.sentAt = sentAt;
        }

        boolean hasEnded() {
            return outcome != null;
        }

        void ended(Outcome how, long at) {
            outcome = how;
            took = at - sentAt;
        }

        @Override
        public String toString() {
            return upstream + (outcome == null ? " out" : " " + outcome + " " + took / MS + " ms");
        }
    }

    private final PrintStream out;
    private long began;
    private int written;
    private long leftOut;

    FailedRequestLog(PrintStream out) {
        this.out = out;
    }

    /** Writes the line if there is room for it; only then is it made. */
    void add(long now, Supplier<String> line) {
        if (now - began >= SECOND) {
            began = now;
            written = 0;
        }
        if (written >= MOST_A_SECOND) {
            leftOut++;
            return;
        }
        written++;
        out.println("ended badly: " + line.get()
                + (leftOut > 0 ? "; before it " + leftOut + " not shown" : ""));
        leftOut = 0;
    }

    static String line(String id, String kind, String end, String reason, long after,
            List<AttemptLogEntry> tries) {
        return cut(id) + " " + cut(kind) + " " + end + " " + reason + " after " + after / MS + " ms, tries "
                + tries;
    }

    /** What a client wrote is repeated only in part. */
    private static String cut(String word) {
        return word == null ? "-" : word.substring(0, Math.min(word.length(), LONGEST_WORD));
    }
}
