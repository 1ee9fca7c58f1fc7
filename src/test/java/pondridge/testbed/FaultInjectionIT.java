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

/**
 * Runs a real sidecar under one type of fault at a time. Each test is named after the failure that it guards
 * against; its comment says how that failure comes about without the guard.
 */
@Execution(ExecutionMode.CONCURRENT)
class FaultInjectionIT {
    private static final long SEED = 36;
    private static final int EXCHANGES_PER_SECOND = 150;
    private static final int BURST_COUNT = 4;
    private static final long BURST_SPACING_MS = 900;
    private static final Duration SHORT_FAULT = Duration.ofMillis(50);
    private static final Duration LONG_FAULT = Duration.ofMillis(250);
    /** Shorter than the deadlines, so that each request can still be answered. */
    private static final long STOP_MS = 300;
    /** The percentage of requests that may remain unserved when system calls fail for a moment. */
    private static final int MAX_NOT_SERVED_PERCENT = 1;
    private static final SidecarSettings SHORT_DEADLINES =
            new SidecarSettings(List.of(400, 400, 400), 256, true, 1.2);

    @TempDir
    private Path folder;

    /** An action that is repeated while the fleet is under load; most begin a short fault. */
    private interface Burst {
        void begin(Fleet fleet) throws IOException;
    }

    private static Burst failing(SystemFault fault, Errno error, Duration duration, int perMille) {
        return fleet -> fleet.sidecars().get(0).faults().fail(fault, error, duration, perMille);
    }

    private Fleet fleet(SidecarProcess.LogDestination log) throws IOException {
        return new Fleet(SHORT_DEADLINES, 1, 4, SEED, folder, List.of(log));
    }

    /** Repeats an action at intervals while the fleet is under load, and reports on the run. */
    private SoakReport runBursts(Fleet fleet, Burst burst) throws IOException {
        fleet.start();
        fleet.startLoad(EXCHANGES_PER_SECOND, ClientMix.WELL_BEHAVED_ON_NEW_CONNECTIONS);
        for (int i = 0; i < BURST_COUNT; i++) {
            StubUpstream.sleep(BURST_SPACING_MS);
            burst.begin(fleet);
        }
        StubUpstream.sleep(BURST_SPACING_MS);
        fleet.stopLoad();
        SoakPlan plan = new SoakPlan(SEED, 1, 4, 0, EXCHANGES_PER_SECOND, SHORT_DEADLINES, 0, false,
                List.of());
        SoakReport report = new SoakReport(plan, fleet.history(), check(fleet),
                fleet.describeDelays());
        report.add(fleet.sidecars().get(0), ResourceUsage.of(fleet.sidecars().get(0)));
        return report;
    }

    private static List<Violation> check(Fleet fleet) {
        return InvariantChecker.check(fleet.history(), fleet.sidecars(), fleet.recordedTimes(),
                fleet.settings(), false);
    }

    /** Checks the invariants; if one is broken, the message tells what the sidecar and the machine did. */
    private static void expectNoViolation(Fleet fleet) throws IOException {
        String situation = fleet.describeDelays() + "\n" + FailureSummary.of(fleet.sidecars().get(0));
        assertEquals(List.of(), check(fleet), situation);
    }

    private static void expectServed(SoakReport report) {
        assertEquals(List.of(), report.violations(), report::text);
        int notServed = report.requests() - report.count(End.SERVED);
        assertTrue(notServed * 100 <= report.requests() * MAX_NOT_SERVED_PERCENT, report::text);
    }

    private void expectHarmless(SystemFault fault, Errno error, Duration duration, int perMille)
            throws IOException {
        try (Fleet fleet = fleet(SidecarProcess.LogDestination.FILE)) {
            fleet.upstreams().forEach(upstream -> upstream.setBehaviour(
                    UpstreamBehaviour.CLOSING_CONNECTIONS));
            SoakReport report = runBursts(fleet, failing(fault, error, duration, perMille));
            assertTrue(report.injected(fault) > 0, "the fault was never injected");
            expectServed(report);
        }
    }

    /**
     * The listener pauses for a second after a failed accept, and the requests on connections that wait to be
     * accepted get late responses.
     */
    @Test
    void requestsWereLateAfterAcceptFailedForAMoment() throws IOException {
        expectHarmless(SystemFault.ACCEPT, Errno.ENFILE, SHORT_FAULT, 1000);
    }

    @Test
    void requestsWereLateAfterAcceptedConnectionsWereAborted() throws IOException {
        expectHarmless(SystemFault.ACCEPT, Errno.ECONNABORTED, SHORT_FAULT, 500);
    }

    /** A request uses up all of its attempts within a millisecond while connect fails locally. */
    @Test
    void requestsWereRefusedWhenConnectHadNoPortForAMoment() throws IOException {
        expectHarmless(SystemFault.CONNECT, Errno.EADDRNOTAVAIL, Duration.ofMillis(100), 1000);
    }

    @Test
    void requestsWereRefusedWhenConnectHadNoRouteForAMoment() throws IOException {
        expectHarmless(SystemFault.CONNECT, Errno.ENETUNREACH, Duration.ofMillis(100), 1000);
    }

    /**
     * A connection for which no socket can be created counts towards the connection limit for ever, until no
     * connection can be opened any more.
     */
    @Test
    void connectionsWereCountedForeverAfterSocketFailed() throws IOException {
        expectHarmless(SystemFault.SOCKET, Errno.ENOBUFS, LONG_FAULT, 1000);
    }

    /** A read that is interrupted is treated as the end of the connection. */
    @Test
    void connectionsWereClosedAfterAnInterruptedRead() throws IOException {
        expectHarmless(SystemFault.READ, Errno.EINTR, LONG_FAULT, 300);
    }

    /**
     * The time for which a request was unread because each read was interrupted is not deducted from the
     * deadline that the upstream is told.
     */
    @Test
    void deadlinesWereToldTooLongWhenAllReadsWereInterrupted() throws IOException {
        try (Fleet fleet = fleet(SidecarProcess.LogDestination.FILE)) {
            SoakReport report = runBursts(fleet, failing(SystemFault.READ, Errno.EINTR, LONG_FAULT, 1000));
            assertTrue(report.injected(SystemFault.READ) > 0, "the fault was never injected");
            assertEquals(List.of(), report.violations(), report::text);
        }
    }

    /** The time for which the whole process was stopped is not deducted from the deadlines. */
    @Test
    void deadlinesWereToldTooLongAfterTheProcessWasStopped() throws IOException {
        try (Fleet fleet = fleet(SidecarProcess.LogDestination.FILE)) {
            fleet.upstreams().forEach(upstream -> upstream.setBehaviour(
                    UpstreamBehaviour.CLOSING_CONNECTIONS));
            SoakReport report = runBursts(fleet, each -> each.sidecars().get(0).stall(STOP_MS));
            assertEquals(List.of(), report.violations(), report::text);
        }
    }

    @Test
    void connectionsWereClosedAfterAReadFailedForAMoment() throws IOException {
        expectHarmless(SystemFault.READ, Errno.ETIMEDOUT, LONG_FAULT, 100);
    }

    /** A write that fails for lack of buffer space ends the connection, and the response is lost. */
    @Test
    void answersWereLostWhenAWriteFailedForAMoment() throws IOException {
        expectHarmless(SystemFault.WRITE, Errno.ENOBUFS, LONG_FAULT, 300);
    }

    @Test
    void responsesWereLostWhenAWriteWasInterrupted() throws IOException {
        expectHarmless(SystemFault.WRITE, Errno.EINTR, LONG_FAULT, 500);
    }

    @Test
    void requestsWereLostUnderShortReads() throws IOException {
        expectHarmless(SystemFault.SHORT_READ, Errno.EINTR, LONG_FAULT, 500);
    }

    @Test
    void requestsWereLostUnderShortWrites() throws IOException {
        expectHarmless(SystemFault.SHORT_WRITE, Errno.EINTR, LONG_FAULT, 500);
    }

    @Test
    void requestsWereLostUnderInterruptedWaits() throws IOException {
        expectHarmless(SystemFault.WAIT, Errno.EINTR, LONG_FAULT, 500);
    }

    @Test
    void requestsWereLostWhenTheLogsDiskWasFull() throws IOException {
        try (Fleet fleet = fleet(SidecarProcess.LogDestination.FULL_DISK)) {
            fleet.upstreams().forEach(upstream -> upstream.setBehaviour(UpstreamBehaviour.FAULTY));
            SoakReport report = runBursts(fleet, failing(SystemFault.LOG_WRITE, Errno.EIO, LONG_FAULT, 1000));
            assertTrue(report.injected(SystemFault.LOG_WRITE) > 0, "the fault was never injected");
            assertEquals(List.of(), report.violations(), report::text);
        }
    }

    /**
     * The upstream sends a second response to a request some milliseconds after the first, and the sidecar
     * uses it as the response to the next request.
     */
    @Test
    void aLateSurplusResponseWasServedToTheNextRequest() throws IOException {
        try (Fleet fleet = fleet(SidecarProcess.LogDestination.FILE)) {
            fleet.upstreams().forEach(upstream -> upstream.setBehaviour(
                    new UpstreamBehaviour(0, 0, 0, 0, 0, 0, 300, 0, 0, 2, 20)));
            expectServed(runBursts(fleet, each -> { }));
        }
    }

    /** The event loop blocks in a write to a log pipe that nobody reads. */
    @Test
    void everyRequestWasLostWhenNobodyReadTheLog() throws IOException {
        try (Fleet fleet = fleet(SidecarProcess.LogDestination.FULL_PIPE)) {
            // Requests that fail are logged, which writes to the full pipe.
            fleet.upstreams().forEach(upstream -> upstream.setBehaviour(UpstreamBehaviour.HANGING));
            SoakReport report = runBursts(fleet, each -> each.upstreams()
                    .forEach(upstream -> upstream.setBehaviour(UpstreamBehaviour.HEALTHY)));
            assertEquals(List.of(), report.violations(), report::text);
        }
    }

    /** If no socket can be created for the watch, it is not opened again, and list changes are missed. */
    @Test
    void drainWasMissedAfterAWatchCouldNotOpenASocket() throws IOException {
        try (Fleet fleet = fleet(SidecarProcess.LogDestination.FILE)) {
            fleet.start();
            fleet.startLoad(EXCHANGES_PER_SECOND, ClientMix.WELL_BEHAVED);
            fleet.sidecars().get(0).faults().fail(SystemFault.SOCKET, Errno.ENOBUFS, LONG_FAULT);
            fleet.discovery().resetWatches();
            StubUpstream.sleep(2 * LONG_FAULT.toMillis());
            fleet.updateListEntry(0, "DRAINING", 0);
            fleet.history().listUpdated(fleet.upstreams().get(0).uid(), RunHistory.State.DRAINING);
            StubUpstream.sleep(2 * SidecarSettings.DRAIN_GRACE_MS);
            fleet.stopLoad();
            expectNoViolation(fleet);
        }
    }

    /** The process exits if no socket can be created for a moment while it starts. */
    @Test
    void startupFailedWhenNoSocketCouldBeOpenedForAMoment() throws IOException {
        try (Fleet fleet = fleet(SidecarProcess.LogDestination.FILE)) {
            SidecarProcess sidecar = fleet.sidecars().get(0);
            fleet.configure(sidecar);
            sidecar.faults().fail(SystemFault.SOCKET, Errno.ENFILE, Duration.ofMillis(1_500));
            sidecar.start();
            fleet.requireReady(sidecar);
            assertTrue(sidecar.faults().injectedCounts().containsKey(SystemFault.SOCKET),
                    "the fault was never injected");
            expectNoViolation(fleet);
        }
    }

    /**
     * If a reload cannot open the configuration file, it is not repeated, and the sidecar does not learn the
     * new address of discovery.
     */
    @Test
    void discoveryWasLostAfterAReloadCouldNotOpenItsFile() throws IOException {
        try (Fleet fleet = fleet(SidecarProcess.LogDestination.FILE)) {
            fleet.start();
            StubUpstream.sleep(1_000);
            fleet.sidecars().get(0).faults().fail(SystemFault.OPEN, Errno.EMFILE, Duration.ofMillis(500));
            fleet.moveDiscovery(1);
            StubUpstream.sleep(4_000);
            fleet.startLoad(EXCHANGES_PER_SECOND, ClientMix.WELL_BEHAVED);
            fleet.updateListEntry(0, "DRAINING", 0);
            fleet.history().listUpdated(fleet.upstreams().get(0).uid(), RunHistory.State.DRAINING);
            StubUpstream.sleep(2 * SidecarSettings.DRAIN_GRACE_MS);
            fleet.stopLoad();
            expectNoViolation(fleet);
        }
    }

    /**
     * After the clocks of the sidecar and of discovery step forward, the start time of a restarted upstream
     * seems to be an hour ahead, and the upstream gets hardly any requests although it is warm.
     */
    @Test
    void anUpstreamStayedColdAfterTheWallClockWentForward() throws IOException {
        restartAfterClockStep(Duration.ofHours(1), Duration.ofHours(1));
    }

    /**
     * After both clocks step back, the new start time of an upstream is earlier than its last one. The
     * restart is not detected, and the cold upstream is overloaded.
     */
    @Test
    void aColdUpstreamWasOverloadedAfterTheWallClockWentBack() throws IOException {
        restartAfterClockStep(Duration.ofHours(-1), Duration.ofHours(-1));
    }

    @Test
    void aColdUpstreamWasOverloadedAfterTheSidecarsClockAloneWentForward() throws IOException {
        restartAfterClockStep(Duration.ofHours(1), Duration.ZERO);
    }

    @Test
    void anUpstreamStayedColdAfterTheSidecarsClockAloneWentBack() throws IOException {
        restartAfterClockStep(Duration.ofHours(-1), Duration.ZERO);
    }

    /**
     * Restarts an upstream after a step of the clocks. The upstream must not be overloaded while cold, and
     * must get requests once it is warm.
     */
    private void restartAfterClockStep(Duration sidecarStep, Duration discoveryStep) throws IOException {
        try (Fleet fleet = new Fleet(SHORT_DEADLINES, 1, 3, SEED, folder, List.of())) {
            fleet.start();
            fleet.startLoad(2 * EXCHANGES_PER_SECOND, ClientMix.WELL_BEHAVED);
            StubUpstream.sleep(1_000);
            fleet.updateListEntry(0, "SERVING", System.currentTimeMillis());
            StubUpstream.sleep(1_000);
            fleet.sidecars().get(0).faults().stepWallClock(sidecarStep, Duration.ofMinutes(1));
            fleet.upstreams().get(0).crash();
            fleet.upstreams().get(0).restart();
            fleet.updateListEntry(0, "SERVING", System.currentTimeMillis() + discoveryStep.toMillis());
            fleet.history().listUpdated(fleet.upstreams().get(0).uid(), RunHistory.State.STARTED);
            StubUpstream.sleep(SidecarSettings.RAMP_MS + 500);
            long warmAt = System.nanoTime();
            StubUpstream.sleep(1_000);
            fleet.stopLoad();
            expectNoViolation(fleet);
            long attemptsWhenWarm = fleet.history().attempts().stream().filter(attempt ->
                    attempt.upstream().equals("s-0") && attempt.firstByteAt() > warmAt).count();
            assertTrue(attemptsWhenWarm > EXCHANGES_PER_SECOND / 3,
                    "the warm upstream got only " + attemptsWhenWarm + " attempts in a second");
        }
    }

    /**
     * Shutdown waits longer than the time until SIGKILL, and open requests with long deadlines never get a
     * response.
     */
    @Test
    void requestsGotNoResponseWhenSigkillCameBeforeTheLongestDeadline() throws IOException {
        SidecarSettings longDeadlines = new SidecarSettings(List.of(8_000, 8_000, 8_000), 256, true, 1.2);
        try (Fleet fleet = new Fleet(longDeadlines, 1, 4, SEED, folder, List.of())) {
            fleet.start();
            fleet.upstreams().forEach(upstream -> upstream.setBehaviour(UpstreamBehaviour.HANGING));
            fleet.startLoad(20, ClientMix.WELL_BEHAVED);
            StubUpstream.sleep(500);
            FaultInjector.terminateAll(fleet);
            fleet.stopLoad();
            expectNoViolation(fleet);
        }
    }

    /** Pipelined requests behind the current one are forwarded although their client has disconnected. */
    @Test
    void requestsWereForwardedForClientsThatPipelinedAndDisconnected() throws IOException {
        try (Fleet fleet = fleet(SidecarProcess.LogDestination.FILE)) {
            fleet.start();
            fleet.upstreams().forEach(upstream -> upstream.setBehaviour(
                    new UpstreamBehaviour(0, 0, 0, 0, 0, 0, 0, 0, 0, 150, 250)));
            for (int i = 0; i < 10; i++) {
                pipelineAndDisconnect(fleet, i);
            }
            StubUpstream.sleep(1_000);
            expectNoViolation(fleet);
        }
    }

    private static void pipelineAndDisconnect(Fleet fleet, int number) throws IOException {
        try (HttpConnection client = new HttpConnection(fleet.sidecars().get(0).address())) {
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
