package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.Outcome;

/** The text of the log lines about failed requests, and the limits on their number and length. */
class FailedRequestLogTest {
    /** One millisecond in nanoseconds. */
    private static final long MS = 1_000_000;
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final FailedRequestLog failedRequestLog = new FailedRequestLog(
            new PrintStream(output, true, StandardCharsets.UTF_8));

    private List<String> lines() {
        return output.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    void lineShowsRequestReasonAndAttempts() {
        FailedRequestLog.AttemptLogEntry first = new FailedRequestLog.AttemptLogEntry("s-1", 5 * MS);
        first.ended(Outcome.RESET, 12 * MS);
        FailedRequestLog.AttemptLogEntry second = new FailedRequestLog.AttemptLogEntry("s-2", 20 * MS);
        failedRequestLog.add(0, () -> FailedRequestLog.line("9b1f", "book", "failed", "DEADLINE", 480 * MS,
                List.of(first, second)));
        assertEquals(List.of("ended badly: 9b1f book failed DEADLINE after 480 ms,"
                + " tries [s-1 RESET 7 ms, s-2 out]"), lines());
    }

    @Test
    void limitsLinesPerSecondAndCountsOmittedOnes() {
        for (int i = 0; i < 1_000; i++) {
            failedRequestLog.add(i * MS / 2, () -> "x".repeat(10));
        }
        assertEquals(20, lines().size());
        failedRequestLog.add(1_200 * MS, () -> "next");
        assertEquals("ended badly: next; before it 980 not shown", lines().get(20));
    }

    @Test
    void truncatesLongTextsAndMarksMissingOnes() {
        failedRequestLog.add(0, () ->
                FailedRequestLog.line("y".repeat(5_000), null, "refused", "NO_ROOM", 0, List.of()));
        assertEquals("ended badly: " + "y".repeat(64) + " - refused NO_ROOM after 0 ms, tries []",
                lines().get(0));
    }
}
