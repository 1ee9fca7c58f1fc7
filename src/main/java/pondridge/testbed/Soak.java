package pondridge.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One run of the randomized fault soak, in three phases: a fleet under load and faults; a time without
 * load, in which the sidecars have to release what they use for requests that have ended; and the
 * termination of all sidecars under load.
 */
final class Soak {
    /**
     * Pause after the start: so many processes that start at the same time use all of the processor time. A
     * sidecar that is restarted later gets no such pause.
     */
    private static final int SETTLE_MS = 1_500;
    /** How long idle clients keep their connections. */
    private static final int IDLE_CLIENTS_MS = 3_000;
    /** How long the load continues after the faults. */
    private static final int FAULT_FREE_LOAD_MS = 1_000;
    /** More than the idle timeout of connections and the interval of the sidecar's state lines together. */
    private static final int RELEASE_WAIT_MS = 10_500;
    /**
     * The descriptors that a sidecar may have open without load: its files, listener, selector, peer socket
     * and watch, and some for the JVM.
     */
    private static final int MAX_IDLE_DESCRIPTORS = 40;

    private final SoakPlan plan;
    private final Path folder;

    Soak(SoakPlan plan, Path folder) {
        this.plan = plan;
        this.folder = folder;
    }

    /** Executes the run, checks the invariants, and writes the report to the folder as text and JSON. */
    SoakReport run() throws IOException {
        Files.createDirectories(folder);
        try (Fleet fleet = new Fleet(plan.settings(), plan.sidecars(), plan.upstreams(), plan.seed(), folder,
                logDestinations())) {
            fleet.start();
            StubUpstream.sleep(SETTLE_MS);
            fleet.startLoad(plan.exchangesPerSecond(), LoadGenerator.ClientMix.MIXED);
            injectFaults(fleet);
            StubUpstream.sleep(FAULT_FREE_LOAD_MS);
            fleet.stopLoad();
            List<ResourceUsage> usages = checkResourcesReleased(fleet);
            terminateUnderLoad(fleet);
            return report(fleet, usages);
        }
    }

    private List<SidecarProcess.LogDestination> logDestinations() {
        List<SidecarProcess.LogDestination> logDestinations = new ArrayList<>();
        for (int i = 0; i < plan.blockedLogs(); i++) {
            logDestinations.add(SidecarProcess.LogDestination.FULL_PIPE);
            logDestinations.add(SidecarProcess.LogDestination.FULL_DISK);
        }
        return logDestinations;
    }

    private void injectFaults(Fleet fleet) {
        Thread idleClientsThread = plan.idleClients()
                ? LoopbackServer.startThread("idle-clients", () -> runIdleClients(fleet)) : null;
        new FaultInjector(fleet).run(plan.faults());
        if (idleClientsThread != null) {
            try {
                idleClientsThread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        fleet.sidecars().forEach(each -> each.faults().clear());
    }

    /** Uses up half of the file descriptors of every second sidecar for a time. */
    private void runIdleClients(Fleet fleet) {
        List<IdleClients> idleClients = new ArrayList<>();
        for (int i = 0; i < fleet.sidecars().size(); i += 2) {
            idleClients.add(new IdleClients(fleet.sidecars().get(i), plan.settings().descriptors() / 2));
        }
        StubUpstream.sleep(IDLE_CLIENTS_MS);
        idleClients.forEach(IdleClients::close);
    }

    /**
     * Waits without load and reports a violation for each sidecar that has not released its resources.
     *
     * @return what each sidecar uses at the end of the wait
     */
    private List<ResourceUsage> checkResourcesReleased(Fleet fleet) throws IOException {
        StubUpstream.sleep(RELEASE_WAIT_MS);
        List<ResourceUsage> usages = new ArrayList<>();
        for (SidecarProcess sidecar : fleet.sidecars()) {
            ResourceUsage usage = ResourceUsage.of(sidecar);
            usages.add(usage);
            String name = "sidecar " + sidecar.number();
            if (usage.descriptors() > MAX_IDLE_DESCRIPTORS) {
                fleet.history().report(new Violation(Invariant.NO_LEAK, name + " rests with " + usage));
            }
            if (sidecar.reportedConnections() > 0 || sidecar.reportedRequests() > 0) {
                fleet.history().report(new Violation(Invariant.NO_LEAK, name + " counts "
                        + sidecar.reportedConnections() + " connections and " + sidecar.reportedRequests()
                        + " requests at rest"));
            }
            if (sidecar.reportedViolations() > 0) {
                fleet.history().report(new Violation(Invariant.SELF_CHECK, name + " counts "
                        + sidecar.reportedViolations()));
            }
        }
        return usages;
    }

    private void terminateUnderLoad(Fleet fleet) {
        fleet.startLoad(plan.exchangesPerSecond(), LoadGenerator.ClientMix.MIXED);
        StubUpstream.sleep(TimeUnit.SECONDS.toMillis(1));
        FaultInjector.terminateAll(fleet);
        fleet.stopLoad();
    }

    private SoakReport report(Fleet fleet, List<ResourceUsage> usages) throws IOException {
        List<Violation> violations = InvariantChecker.check(fleet.history(), fleet.sidecars(),
                fleet.recordedTimes(), plan.settings(), plan.idleClients());
        SoakReport report = new SoakReport(plan, fleet.history(), violations,
                fleet.describeDelays());
        for (SidecarProcess sidecar : fleet.sidecars()) {
            report.add(sidecar, usages.get(sidecar.number()));
        }
        Files.writeString(folder.resolve("report.txt"), report.text());
        Files.writeString(folder.resolve("report.json"), report.json().toPrettyString());
        return report;
    }
}
