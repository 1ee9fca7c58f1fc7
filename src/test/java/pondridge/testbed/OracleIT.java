package pondridge.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pondridge.testbed.RequestRecord.End;
import pondridge.testbed.RunHistory.State;

/** Shows that the testbed reports broken rules, by the times that are recorded in the sidecars' processes. */
class OracleIT {
    private static final SidecarSettings SETTINGS =
            new SidecarSettings(List.of(1_000, 1_000, 1_000), 256, true, 1.2);
    private static final long SEED = 36;
    private static final int DEADLINE_MS = 1_000;
    /** Less than is left of the deadline when an attempt arrives. */
    private static final int TOLD_MS = 250;
    private static final long NANOS_PER_MS = 1_000_000;
    /** Attempts that the warm upstream gets in each second. */
    private static final int WARM_ATTEMPTS = 100;
    /** When the cold upstream starts, after the beginning of a second. */
    private static final long STARTED_AT_MS = 100_000;
    /**
     * At a fifth of its ramp the cold upstream may get 1.2 x 100 x (0.3 + 0.7 x 0.2) = 52.8 attempts in a
     * second, and 2 x root of 52.8 + 2 more.
     */
    private static final int COLD_ATTEMPTS = 69;

    @TempDir
    private Path folder;

    /** Has a client of a faulty sidecar leave 50 ms after its request; returns the violations. */
    private List<Invariant> violationsOf(FaultySidecar.Fault fault) throws IOException {
        try (Fleet fleet = new Fleet(SETTINGS, 1, 1, SEED, folder, List.of())) {
            fleet.sidecars().get(0).useCommand(FaultySidecar.command(fault));
            fleet.start();
            RequestRecord request = new RequestRecord("faulty", 0, RequestClass.LOOK, DEADLINE_MS);
            fleet.history().add(request);
            HttpConnection client = new HttpConnection(fleet.sidecars().get(0).address());
            client.send(LoadGenerator.requestText(request, SeededRandom.create(SEED, request.id)));
            request.sentAt = System.nanoTime();
            request.clientPort = client.localPort();
            StubUpstream.sleep(50);
            request.end(End.LEFT, "");
            client.close();
            request.closedAt = System.nanoTime();
            StubUpstream.sleep(DEADLINE_MS);
            assertEquals(1, fleet.history().attempts("faulty").size(), "attempts");
            return InvariantChecker.check(fleet.history(), fleet.sidecars(), fleet.recordedTimes(), SETTINGS,
                    false).stream().map(Violation::invariant).toList();
        }
    }

    @Test
    void anHonestSidecarBreaksNoRule() throws IOException {
        assertEquals(List.of(), violationsOf(FaultySidecar.Fault.NONE));
    }

    @Test
    void anAttemptAfterTheClientsCloseIsReported() throws IOException {
        assertEquals(List.of(Invariant.NOT_FORWARDED_AFTER_END),
                violationsOf(FaultySidecar.Fault.SENDS_AFTER_THE_CLOSE));
    }

    @Test
    void aDeadlineThatIsToldTooLongIsReported() throws IOException {
        assertEquals(List.of(Invariant.DEADLINE_HONEST), violationsOf(FaultySidecar.Fault.TELLS_TOO_MUCH));
    }

    /** Without its recorded time an attempt can't be judged. */
    @Test
    void anAttemptWithoutARecordedTimeIsReported() {
        RunHistory history = new RunHistory();
        add(history, new ArrayList<>(), 0, "s-0", 0);
        assertEquals(List.of(Invariant.RECORDED), check(history, List.of()));
    }

    @Test
    void oneAttemptTooManyForAColdUpstreamIsReported() {
        assertEquals(List.of(), violationsOfColdAttempts(COLD_ATTEMPTS));
        assertEquals(List.of(Invariant.SLOW_START), violationsOfColdAttempts(COLD_ATTEMPTS + 1));
    }

    /** All attempts of the cold upstream are sent at once, right after its start, and arrive much later. */
    private static List<Invariant> violationsOfColdAttempts(int count) {
        RunHistory history = new RunHistory();
        List<SidecarTrace.SentRequest> sent = new ArrayList<>();
        int number = 0;
        for (int second = -2; second <= 2; second++) {
            for (int i = 0; i < WARM_ATTEMPTS; i++) {
                long atMs = STARTED_AT_MS + 1_000L * second + i * 1_000L / WARM_ATTEMPTS;
                add(history, sent, number++, "s-1", atMs);
            }
        }
        for (int i = 0; i < count; i++) {
            add(history, sent, number++, "s-0", STARTED_AT_MS + 1);
        }
        history.add(new RunHistory.ListEvent("s-0", State.STARTED, STARTED_AT_MS * NANOS_PER_MS,
                STARTED_AT_MS * NANOS_PER_MS));
        return check(history, sent);
    }

    /** Adds an attempt that its upstream reads 500 ms after it was sent. */
    private static void add(RunHistory history, List<SidecarTrace.SentRequest> sent, int number,
            String upstream, long sentAtMs) {
        long sentAt = sentAtMs * NANOS_PER_MS;
        long readAt = sentAt + 500 * NANOS_PER_MS;
        String id = "request-" + number;
        RequestRecord request = new RequestRecord(id, 0, RequestClass.LOOK, DEADLINE_MS);
        request.sentAt = sentAt;
        request.endedAt = sentAt + 600 * NANOS_PER_MS;
        request.end = End.FAILED;
        history.add(request);
        history.add(new AttemptRecord(number, id, upstream, readAt, readAt, TOLD_MS, false, number + 1));
        sent.add(new SidecarTrace.SentRequest(id, number + 1, sentAt));
    }

    private static List<Invariant> check(RunHistory history, List<SidecarTrace.SentRequest> sent) {
        RecordedTimes times = new RecordedTimes(history,
                List.of(new SidecarTrace.Recording(0, sent, List.of(), true)));
        return InvariantChecker.check(history, List.of(), times, SETTINGS, false).stream()
                .map(Violation::invariant).toList();
    }
}
