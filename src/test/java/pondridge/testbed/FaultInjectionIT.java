package pondridge.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import pondridge.testbed.LoadGenerator.ClientMix;
import pondridge.testbed.RequestRecord.End;

/** A real sidecar under one kind of fault at a time; tests are named after the failure they guard against. */
@Execution(ExecutionMode.CONCURRENT)
class FaultInjectionIT {
    private static final long SEED = 36;
    private static final int PER_SECOND = 150;
    private static final int BURSTS = 4;
    private static final long BURST_SPACING_MS = 900;
    private static final Duration SHORT = Duration.ofMillis(50);
    private static final Duration LONG = Duration.ofMillis(250);
    /** A moment's trouble on this machine may cost so many of a hundred requests, and no more. */
    private static final int MOST_NOT_SERVED_PERCENT = 1;
    private static final SidecarSettings SHORT_DEADLINES =
            new SidecarSettings(List.of(400, 400, 400), 256, true, 1.2);

    @TempDir
    private Path folder;

    /** What begins a burst of trouble at the sidecar. */
    private interface Burst {
        void begin(Fleet fleet) throws IOException;
    }

    private static Burst failing(SystemFault fault, Errno error, Duration time, int perMille) {
        return fleet -> fleet.sidecars().get(0).faults().fail(fault, error, time, perMille);
    }

    private Fleet fleet(SidecarProcess.LogDestination log) throws IOException {
        return new Fleet(SHORT_DEADLINES, 1, 4, SEED, folder, List.of(log));
    }

    /** Plays bursts under load; nothing may break, and nearly everything has to be served. */
    private SoakReport play(Fleet fleet, Burst burst) throws IOException {
        fleet.start();
        fleet.startLoad(PER_SECOND, ClientMix.WELL_BEHAVED_ON_NEW_CONNECTIONS);
        for (int i = 0; i < BURSTS; i++) {
            StubUpstream.sleep(BURST_SPACING_MS);
            burst.begin(fleet);
        }
        StubUpstream.sleep(BURST_SPACING_MS);
        fleet.stopLoad();
        SoakPlan plan = new SoakPlan(SEED, 1, 4, 0, PER_SECOND, SHORT_DEADLINES, 0, false, List.of());
        SoakReport report = new SoakReport(plan, fleet.history(), check(fleet));
        report.add(fleet.sidecars().get(0), ResourceUsage.of(fleet.sidecars().get(0)));
        return report;
    }

    private static List<Violation> check(Fleet fleet) {
        return InvariantChecker.check(fleet.history(), fleet.sidecars(), fleet.settings(), false);
    }

    private static void expectServed(SoakReport report) {
        assertEquals(List.of(), report.violations(), report::text);
        int notServed = report.requests() - report.count(End.SERVED);
        assertTrue(notServed * 100 <= report.requests() * MOST_NOT_SERVED_PERCENT, report::text);
    }

    private void expectHarmless(SystemFault fault, Errno error, Duration time, int perMille)
            throws IOException {
        try (Fleet fleet = fleet(SidecarProcess.LogDestination.FILE)) {
            fleet.upstreams().forEach(upstream -> upstream.setBehaviour(
                    UpstreamBehaviour.CLOSING_CONNECTIONS));
            SoakReport report = play(fleet, failing(fault, error, time, perMille));
            assertTrue(report.injected(fault) > 0, "the fault was never injected");
            expectServed(report);
        }
    }

    /** The listener paused for a second after a failed accept; what waited to be accepted was late. */
    @Test
    void requestsWereLateAfterAcceptFailedForAMoment() throws IOException {
        expectHarmless(SystemFault.ACCEPT, Errno.ENFILE, SHORT, 1000);
    }

    @Test
    void requestsWereLateAfterAcceptedConnectionsWereAborted() throws IOException {
        expectHarmless(SystemFault.ACCEPT, Errno.ECONNABORTED, SHORT, 500);
    }

    /** All tries were spent within a millisecond of a fault of this machine. */
    @Test
    void requestsWereRefusedWhenConnectHadNoPortForAMoment() throws IOException {
        expectHarmless(SystemFault.CONNECT, Errno.EADDRNOTAVAIL, Duration.ofMillis(100), 1000);
    }

    @Test
    void requestsWereRefusedWhenConnectHadNoRouteForAMoment() throws IOException {
        expectHarmless(SystemFault.CONNECT, Errno.ENETUNREACH, Duration.ofMillis(100), 1000);
    }

    /** Places of connections that were never made were not given back, until none was left. */
    @Test
    void connectionsWereCountedForeverAfterSocketFailed() throws IOException {
        expectHarmless(SystemFault.SOCKET, Errno.ENOBUFS, LONG, 1000);
    }

    /** An interrupted read of a connection was taken for its end. */
    @Test
    void connectionsWereClosedAfterAnInterruptedRead() throws IOException {
        expectHarmless(SystemFault.READ, Errno.EINTR, LONG, 300);
    }

    @Test
    void connectionsWereClosedAfterAReadFailedForAMoment() throws IOException {
        expectHarmless(SystemFault.READ, Errno.ETIMEDOUT, LONG, 100);
    }

    /** An answer that could not be written for want of memory ended its connection. */
    @Test
    void answersWereLostWhenAWriteFailedForAMoment() throws IOException {
        expectHarmless(SystemFault.WRITE, Errno.ENOBUFS, LONG, 300);
    }

    @Test
    void answersWereLostWhenAWriteWasInterrupted() throws IOException {
        expectHarmless(SystemFault.WRITE, Errno.EINTR, LONG, 500);
    }

    @Test
    void requestsWereLostUnderShortReads() throws IOException {
        expectHarmless(SystemFault.SHORT_READ, Errno.EINTR, LONG, 500);
    }

    @Test
    void requestsWereLostUnderShortWrites() throws IOException {
        expectHarmless(SystemFault.SHORT_WRITE, Errno.EINTR, LONG, 500);
    }

    @Test
    void requestsWereLostUnderInterruptedWaits() throws IOException {
        expectHarmless(SystemFault.WAIT, Errno.EINTR, LONG, 500);
    }

    @Test
    void requestsWereLostWhenTheLogsDiskWasFull() throws IOException {
        try (Fleet fleet = fleet(SidecarProcess.LogDestination.FULL_DISK)) {
            fleet.upstreams().forEach(upstream -> upstream.setBehaviour(UpstreamBehaviour.FAULTY));
            SoakReport report = play(fleet, failing(SystemFault.LOG_WRITE, Errno.EIO, LONG, 1000));
            assertTrue(report.injected(SystemFault.LOG_WRITE) > 0, "the fault was never injected");
            assertEquals(List.of(), report.violations(), report::text);
        }
    }

    /** A second answer to one request, some milliseconds late, was taken for the next request's. */
    @Test
    void aLateSecondAnswerWasServedToTheNextRequest() throws IOException {
        try (Fleet fleet = fleet(SidecarProcess.LogDestination.FILE)) {
            fleet.upstreams().forEach(upstream -> upstream.setBehaviour(
                    new UpstreamBehaviour(0, 0, 0, 0, 0, 0, 300, 0, 0, 2, 20)));
            expectServed(play(fleet, each -> { }));
        }
    }

    /** The event loop stood still in a write to a log that nobody read. */
    @Test
    void everyRequestWasLostWhenNobodyReadTheLog() throws IOException {
        try (Fleet fleet = fleet(SidecarProcess.LogDestination.FULL_PIPE)) {
            // Errors are logged, and fill the pipe.
            fleet.upstreams().forEach(upstream -> upstream.setBehaviour(UpstreamBehaviour.HANGING));
            SoakReport report = play(fleet, each -> each.upstreams()
                    .forEach(upstream -> upstream.setBehaviour(UpstreamBehaviour.HEALTHY)));
            assertEquals(List.of(), report.violations(), report::text);
        }
    }

    /** The first watch that could not be opened for want of a socket was never opened again. */
    @Test
    void drainWasMissedAfterAWatchFoundNoSocket() throws IOException {
        try (Fleet fleet = fleet(SidecarProcess.LogDestination.FILE)) {
            fleet.start();
            fleet.startLoad(PER_SECOND, ClientMix.WELL_BEHAVED);
            fleet.sidecars().get(0).faults().fail(SystemFault.SOCKET, Errno.ENOBUFS, LONG);
            fleet.discovery().resetWatches();
            StubUpstream.sleep(2 * LONG.toMillis());
            fleet.updateListEntry(0, "DRAINING", 0);
            fleet.history().listUpdated(fleet.upstreams().get(0).uid(), RunHistory.State.DRAINING);
            StubUpstream.sleep(2 * SidecarSettings.DRAIN_GRACE_MS);
            fleet.stopLoad();
            assertEquals(List.of(), check(fleet));
        }
    }

    /** A start at which no socket could be had for a moment ended the process. */
    @Test
    void aStartEndedWhenNoSocketCouldBeHadForAMoment() throws IOException {
        try (Fleet fleet = fleet(SidecarProcess.LogDestination.FILE)) {
            SidecarProcess sidecar = fleet.sidecars().get(0);
            fleet.configure(sidecar);
            sidecar.faults().fail(SystemFault.SOCKET, Errno.ENFILE, Duration.ofMillis(1_500));
            sidecar.start();
            fleet.requireReady(sidecar);
            assertTrue(sidecar.faults().injectedCounts().containsKey(SystemFault.SOCKET), "never injected");
            assertEquals(List.of(), check(fleet));
        }
    }

    /** A reload whose file could not be opened for a moment was given up. */
    @Test
    void discoveryWasLostAfterAReloadCouldNotOpenItsFile() throws IOException {
        try (Fleet fleet = fleet(SidecarProcess.LogDestination.FILE)) {
            fleet.start();
            StubUpstream.sleep(1_000);
            fleet.sidecars().get(0).faults().fail(SystemFault.OPEN, Errno.EMFILE, Duration.ofMillis(500));
            fleet.moveDiscovery(1);
            StubUpstream.sleep(4_000);
            fleet.startLoad(PER_SECOND, ClientMix.WELL_BEHAVED);
            fleet.updateListEntry(0, "DRAINING", 0);
            fleet.history().listUpdated(fleet.upstreams().get(0).uid(), RunHistory.State.DRAINING);
            StubUpstream.sleep(2 * SidecarSettings.DRAIN_GRACE_MS);
            fleet.stopLoad();
            assertEquals(List.of(), check(fleet));
        }
    }

    /** An upstream that started behind a step forward seemed to start in an hour, and was left idle. */
    @Test
    void anUpstreamStayedColdAfterTheWallClockWentForward() throws IOException {
        restartBehindStep(Duration.ofHours(1), Duration.ofHours(1));
    }

    /** Behind a step back, an upstream's next start was not seen as one: it was flooded while cold. */
    @Test
    void aColdUpstreamWasFloodedAfterTheWallClockWentBack() throws IOException {
        restartBehindStep(Duration.ofHours(-1), Duration.ofHours(-1));
    }

    @Test
    void aColdUpstreamWasFloodedAfterTheSidecarsClockAloneWentForward() throws IOException {
        restartBehindStep(Duration.ofHours(1), Duration.ZERO);
    }

    @Test
    void anUpstreamStayedColdAfterTheSidecarsClockAloneWentBack() throws IOException {
        restartBehindStep(Duration.ofHours(-1), Duration.ZERO);
    }

    /** Restarts an upstream behind a step of the clocks: it is spared while cold, and used once warm. */
    private void restartBehindStep(Duration sidecarsStep, Duration discoverysStep) throws IOException {
        try (Fleet fleet = new Fleet(SHORT_DEADLINES, 1, 3, SEED, folder, List.of())) {
            fleet.start();
            fleet.startLoad(2 * PER_SECOND, ClientMix.WELL_BEHAVED);
            StubUpstream.sleep(1_000);
            fleet.updateListEntry(0, "SERVING", System.currentTimeMillis());
            StubUpstream.sleep(1_000);
            fleet.sidecars().get(0).faults().stepWallClock(sidecarsStep, Duration.ofMinutes(1));
            fleet.upstreams().get(0).crash();
            fleet.upstreams().get(0).restart();
            fleet.updateListEntry(0, "SERVING", System.currentTimeMillis() + discoverysStep.toMillis());
            fleet.history().listUpdated(fleet.upstreams().get(0).uid(), RunHistory.State.STARTED);
            StubUpstream.sleep(SidecarSettings.RAMP_MS + 500);
            long warmAt = System.nanoTime();
            StubUpstream.sleep(1_000);
            fleet.stopLoad();
            assertEquals(List.of(), check(fleet));
            long sinceWarm = fleet.history().attempts().stream().filter(attempt ->
                    attempt.upstream().equals("s-0") && attempt.firstByteAt() > warmAt).count();
            assertTrue(sinceWarm > PER_SECOND / 3, "a warm upstream got " + sinceWarm + " in a second");
        }
    }

    /** The end came later than SIGKILL, and what was still out for long classes was never answered. */
    @Test
    void requestsWereUnansweredWhenSigkillCameBeforeTheLongestDeadline() throws IOException {
        SidecarSettings longDeadlines = new SidecarSettings(List.of(8_000, 8_000, 8_000), 256, true, 1.2);
        try (Fleet fleet = new Fleet(longDeadlines, 1, 4, SEED, folder, List.of())) {
            fleet.start();
            fleet.upstreams().forEach(upstream -> upstream.setBehaviour(UpstreamBehaviour.HANGING));
            fleet.startLoad(20, ClientMix.WELL_BEHAVED);
            StubUpstream.sleep(500);
            FaultInjector.terminateAll(fleet);
            fleet.stopLoad();
            assertEquals(List.of(), check(fleet));
        }
    }

    /** Requests behind the one being answered were begun for a client that had left. */
    @Test
    void requestsWereForwardedForClientsThatRanAheadAndLeft() throws IOException {
        try (Fleet fleet = fleet(SidecarProcess.LogDestination.FILE)) {
            fleet.start();
            fleet.upstreams().forEach(upstream -> upstream.setBehaviour(
                    new UpstreamBehaviour(0, 0, 0, 0, 0, 0, 0, 0, 0, 150, 250)));
            for (int i = 0; i < 10; i++) {
                runAhead(fleet, i);
            }
            StubUpstream.sleep(1_000);
            assertEquals(List.of(), check(fleet));
        }
    }

    private static void runAhead(Fleet fleet, int number) throws IOException {
        try (HttpExchange client = new HttpExchange(fleet.sidecars().get(0).address())) {
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < 4; i++) {
                String id = "ahead-" + number + "-" + i;
                RequestRecord request = new RequestRecord(id, 0, RequestClass.LOOK, 400);
                fleet.history().add(request);
                text.append(LoadGenerator.requestText(request, SeededRandom.create(SEED, request.id)));
            }
            client.send(text.toString());
            long now = System.nanoTime();
            for (int i = 0; i < 4; i++) {
                fleet.history().request("ahead-" + number + "-" + i).sentAt = now;
            }
            StubUpstream.sleep(60);
        }
        for (int i = 0; i < 4; i++) {
            fleet.history().request("ahead-" + number + "-" + i).end(End.LEFT, "ran ahead");
        }
    }
}
