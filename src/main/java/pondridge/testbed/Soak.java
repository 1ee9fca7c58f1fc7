package pondridge.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One run of the randomized fault soak: a fleet under load and troubles, a quiet time in which everything
 * held for ended requests has to be released, and an orderly end under load.
 */
final class Soak {
    /** So many programs that start at once leave each other no processor; a restart has no such pause. */
    private static final int SETTLE_MS = 1_500;
    private static final int CROWD_MS = 3_000;
    private static final int QUIET_LOAD_MS = 1_000;
    /** Longer than connections may rest, plus the interval of the sidecar's lines on its state. */
    private static final int RELEASE_MS = 10_500;
    /** The process's own files, listener, selector, peer socket, watch, and some for the JVM. */
    private static final int RESTING_DESCRIPTORS = 40;

    private final SoakPlan plan;
    private final Path folder;

    Soak(SoakPlan plan, Path folder) {
        this.plan = plan;
        this.folder = folder;
    }

    /** Plays the run and checks the invariants; the report is also left in the folder. */
    SoakReport run() throws IOException {
        Files.createDirectories(folder);
        try (Fleet fleet = new Fleet(plan.settings(), plan.sidecars(), plan.upstreams(), plan.seed(), folder,
                logs())) {
            fleet.start();
            StubUpstream.sleep(SETTLE_MS);
            fleet.startLoad(plan.exchangesPerSecond(), LoadGenerator.ClientMix.MIXED);
            makeTrouble(fleet);
            StubUpstream.sleep(QUIET_LOAD_MS);
            fleet.stopLoad();
            List<ResourceUsage> usages = expectRelease(fleet);
            endUnderLoad(fleet);
            return report(fleet, usages);
        }
    }

    private List<SidecarProcess.LogDestination> logs() {
        List<SidecarProcess.LogDestination> logs = new ArrayList<>();
        for (int i = 0; i < plan.blockedLogs(); i++) {
            logs.add(SidecarProcess.LogDestination.FULL_PIPE);
            logs.add(SidecarProcess.LogDestination.FULL_DISK);
        }
        return logs;
    }

    private void makeTrouble(Fleet fleet) {
        Thread crowd = plan.idleClients() ? LoopbackServer.startThread("crowd", () -> crowd(fleet)) : null;
        new FaultInjector(fleet).run(plan.faults());
        if (crowd != null) {
            try {
                crowd.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        fleet.sidecars().forEach(each -> each.faults().clear());
    }

    private void crowd(Fleet fleet) {
        List<IdleClients> crowds = new ArrayList<>();
        for (int i = 0; i < fleet.sidecars().size(); i += 2) {
            crowds.add(new IdleClients(fleet.sidecars().get(i), plan.settings().descriptors() / 2));
        }
        StubUpstream.sleep(CROWD_MS);
        crowds.forEach(IdleClients::close);
    }

    /** What each sidecar uses after a rest. */
    private List<ResourceUsage> expectRelease(Fleet fleet) throws IOException {
        StubUpstream.sleep(RELEASE_MS);
        List<ResourceUsage> usages = new ArrayList<>();
        for (SidecarProcess sidecar : fleet.sidecars()) {
            ResourceUsage usage = ResourceUsage.of(sidecar);
            usages.add(usage);
            String name = "sidecar " + sidecar.number();
            if (usage.descriptors() > RESTING_DESCRIPTORS) {
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

    private void endUnderLoad(Fleet fleet) {
        fleet.startLoad(plan.exchangesPerSecond(), LoadGenerator.ClientMix.MIXED);
        StubUpstream.sleep(TimeUnit.SECONDS.toMillis(1));
        FaultInjector.terminateAll(fleet);
        fleet.stopLoad();
    }

    private SoakReport report(Fleet fleet, List<ResourceUsage> usages) throws IOException {
        List<Violation> violations = InvariantChecker.check(fleet.history(), fleet.sidecars(),
                plan.settings(), plan.idleClients());
        SoakReport report = new SoakReport(plan, fleet.history(), violations);
        for (SidecarProcess sidecar : fleet.sidecars()) {
            report.add(sidecar, usages.get(sidecar.number()));
        }
        Files.writeString(folder.resolve("report.txt"), report.text());
        Files.writeString(folder.resolve("report.json"), report.json().toPrettyString());
        return report;
    }
}
