package pondridge.sidecar;

import java.io.PrintStream;
import java.util.List;
import java.util.function.Supplier;
import pondridge.Balancer.Outcome;

/**
 * Logs a line, with the request's id, for each request that ended without a successful response. During an
 * outage these may be most requests, so that the number of lines per second is limited; the next line says
 * how many were omitted. Used on the event loop only.
 */
final class FailedRequestLog {
    private static final int MAX_LINES_PER_SECOND = 20;
    private static final long NANOS_PER_SECOND = 1_000_000_000;
    private static final long NANOS_PER_MS = 1_000_000;
    private static final int MAX_TEXT_CHARS = 64;

    /** One attempt as the log shows it; the upstream is named by its uid, the same in all sidecars. */
    static final class AttemptLogEntry {
        private final String upstream;
        private final long sentAt;
        /** Null while the attempt has not ended. */
        private Outcome outcome;
        private long durationNanos;

        AttemptLogEntry(String upstream, long sentAt) {
            this.upstream = upstream;
            this.sentAt = sentAt;
        }

        boolean hasEnded() {
            return outcome != null;
        }

        void ended(Outcome attemptOutcome, long endedAt) {
            outcome = attemptOutcome;
            durationNanos = endedAt - sentAt;
        }

        @Override
        public String toString() {
            return upstream
                    + (outcome == null ? " out" : " " + outcome + " " + durationNanos / NANOS_PER_MS + " ms");
        }
    }

    private final PrintStream out;
    private long secondStartedAt;
    private int linesThisSecond;
    private long omittedLines;

    FailedRequestLog(PrintStream out) {
        this.out = out;
    }

    /** Builds and writes a line, or only counts it once the limit for this second is reached. */
    void add(long now, Supplier<String> line) {
        if (now - secondStartedAt >= NANOS_PER_SECOND) {
            secondStartedAt = now;
            linesThisSecond = 0;
        }
        if (linesThisSecond >= MAX_LINES_PER_SECOND) {
            omittedLines++;
            return;
        }
        linesThisSecond++;
        out.println("ended badly: " + line.get()
                + (omittedLines > 0 ? "; before it " + omittedLines + " not shown" : ""));
        omittedLines = 0;
    }

    /** Formats a line; {@code id} and {@code className} are what the client sent, or null. */
    static String line(String id, String className, String result, String reason, long elapsedNanos,
            List<AttemptLogEntry> attempts) {
        return truncate(id) + " " + truncate(className) + " " + result + " " + reason + " after "
                + elapsedNanos / NANOS_PER_MS + " ms, tries " + attempts;
    }

    /** Limits the length of texts that a client sent; a missing one is shown as a dash. */
    private static String truncate(String text) {
        return text == null ? "-" : text.substring(0, Math.min(text.length(), MAX_TEXT_CHARS));
    }
}
