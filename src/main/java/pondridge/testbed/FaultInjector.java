package pondridge.testbed;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReadWriteLock;
import java.util.concurrent.locks.ReentrantReadWriteLock;
import java.util.function.Consumer;
import pondridge.testbed.RunHistory.State;

/** Injects the faults of a {@link SoakPlan} into a fleet, each on its own thread so that they can overlap. */
final class FaultInjector {
    private static final Duration SMALL_CLOCK_STEP = Duration.ofSeconds(5);
    private static final Duration LARGE_CLOCK_STEP = Duration.ofHours(1);
    /** Keeps a stall below 150 ms, which includes the time that sending SIGSTOP and SIGCONT takes. */
    private static final int MAX_STALL_MS = 125;
    private static final int SIGNAL_COUNT = 3;
    private static final long SIGNAL_SPACING_MS = 30;

    private final Fleet fleet;
    private final ExecutorService faultThreads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work, "fault");
        thread.setDaemon(true);
        return thread;
    });
    /** Held for reading while a sidecar restarts, and for writing while discovery moves. */
    private final ReadWriteLock reloadLock = new ReentrantReadWriteLock(true);
    private final List<Object> sidecarLocks = new ArrayList<>();
    private final List<Object> upstreamLocks = new ArrayList<>();

    FaultInjector(Fleet fleet) {
        this.fleet = fleet;
        fleet.sidecars().forEach(each -> sidecarLocks.add(new Object()));
        fleet.upstreams().forEach(each -> upstreamLocks.add(new Object()));
    }

    /** Begins each fault at its time and waits until all have ended, but no longer than a minute. */
    void run(List<PlannedFault> faults) {
        long startedAt = System.nanoTime();
        for (PlannedFault fault : faults) {
            StubUpstream.sleep(fault.atMs() - (System.nanoTime() - startedAt) / 1_000_000);
            faultThreads.execute(() -> inject(fault));
        }
        faultThreads.shutdown();
        try {
            faultThreads.awaitTermination(1, TimeUnit.MINUTES);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void inject(PlannedFault fault) {
        try {
            if (fault.type().systemFault() != null) {
                injectSystemFault(fault);
            } else {
                injectExternalFault(fault);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void injectSystemFault(PlannedFault fault) {
        Duration duration = Duration.ofMillis(fault.durationMs());
        Consumer<SidecarProcess> injection = switch (fault.type()) {
            // Not while the process starts: a JVM that cannot open its files does not start.
            case OPEN_EMFILE -> sidecar -> {
                if (sidecar.currentLifetime().readyAt != 0) {
                    sidecar.faults().fail(SystemFault.OPEN, Errno.EMFILE, duration);
                }
            };
            case CLOCK_FORWARD -> sidecar -> sidecar.faults().stepWallClock(clockStep(fault), duration);
            case CLOCK_BACK ->
                    sidecar -> sidecar.faults().stepWallClock(clockStep(fault).negated(), duration);
            default -> sidecar -> sidecar.faults().fail(fault.type().systemFault(),
                    fault.type().error(), duration, fault.type().perMille());
        };
        if (fault.target() == PlannedFault.ALL) {
            fleet.sidecars().forEach(injection);
        } else {
            injection.accept(targetSidecar(fault));
        }
    }

    private static Duration clockStep(PlannedFault fault) {
        return fault.target() % 2 == 0 ? SMALL_CLOCK_STEP : LARGE_CLOCK_STEP;
    }

    private SidecarProcess targetSidecar(PlannedFault fault) {
        return fleet.sidecars().get(fault.target() % fleet.sidecars().size());
    }

    private int targetUpstream(PlannedFault fault) {
        return fault.target() % fleet.upstreams().size();
    }

    private void injectExternalFault(PlannedFault fault) throws IOException {
        int upstream = targetUpstream(fault);
        switch (fault.type()) {
            case STALL -> targetSidecar(fault).stall(Math.min(MAX_STALL_MS, fault.durationMs()));
            case UPSTREAM_TROUBLED -> setBehaviourFor(upstream, UpstreamBehaviour.FAULTY, fault.durationMs());
            case UPSTREAM_HUNG -> setBehaviourFor(upstream, UpstreamBehaviour.HANGING, fault.durationMs());
            case UPSTREAM_RESTART -> restartUpstream(upstream, fault.durationMs());
            case UPSTREAM_DRAIN -> drainUpstream(upstream, fault.durationMs());
            case PROXY_RESET -> fleet.proxies().get(upstream).resetConnections();
            case PROXY_HOLD -> fleet.proxies().get(upstream).delayResponses(fault.durationMs());
            case PROXY_CUT -> fleet.proxies().get(upstream).fragmentResponses(fault.durationMs());
            case WATCH_RESET -> fleet.discovery().resetWatches();
            case WATCH_SILENT -> {
                fleet.discovery().silenceWatches();
                fleet.history().watchesSilenced();
            }
            case RELOAD -> moveDiscovery();
            case RELOAD_UNREADABLE -> moveDiscoveryWhileOpenFails(fault);
            case TERMINATE -> restartSidecar(fault, true);
            case KILL -> restartSidecar(fault, false);
            default -> throw new IllegalStateException(fault.toString());
        }
    }

    private void setBehaviourFor(int upstream, UpstreamBehaviour behaviour, long durationMs) {
        fleet.upstreams().get(upstream).setBehaviour(behaviour);
        StubUpstream.sleep(durationMs);
        fleet.upstreams().get(upstream).setBehaviour(UpstreamBehaviour.HEALTHY);
    }

    /** Makes the upstream's process die and restart cold. */
    private void restartUpstream(int upstream, long downtimeMs) throws IOException {
        synchronized (upstreamLocks.get(upstream)) {
            fleet.upstreams().get(upstream).crash();
            StubUpstream.sleep(downtimeMs);
            fleet.upstreams().get(upstream).restart();
            fleet.updateListEntry(upstream, "SERVING", System.currentTimeMillis());
            fleet.history().listUpdated(fleet.upstreams().get(upstream).uid(), State.STARTED);
        }
    }

    /** Drains the upstream, removes it from the list and adds it again cold, with pauses in between. */
    private void drainUpstream(int upstream, long durationMs) throws IOException {
        synchronized (upstreamLocks.get(upstream)) {
            String uid = fleet.upstreams().get(upstream).uid();
            fleet.updateListEntry(upstream, "DRAINING", 0);
            fleet.history().listUpdated(uid, State.DRAINING);
            StubUpstream.sleep(durationMs);
            fleet.updateListEntry(upstream, "DELETED", 0);
            fleet.history().listUpdated(uid, State.REMOVED);
            StubUpstream.sleep(durationMs);
            fleet.updateListEntry(upstream, "SERVING", System.currentTimeMillis());
            fleet.history().listUpdated(uid, State.STARTED);
        }
    }

    /**
     * Moves discovery and signals the sidecars. This does not happen while a sidecar restarts, which would
     * read the old configuration file and be too young for the signal.
     */
    private void moveDiscovery() throws IOException {
        reloadLock.writeLock().lock();
        try {
            fleet.moveDiscovery(SIGNAL_COUNT);
        } finally {
            reloadLock.writeLock().unlock();
        }
    }

    /** Moves discovery while the sidecars cannot open the new configuration; they have to load it later. */
    private void moveDiscoveryWhileOpenFails(PlannedFault fault) throws IOException {
        Duration duration = Duration.ofMillis(Math.min(500, fault.durationMs()));
        fleet.sidecars().stream().filter(each -> each.currentLifetime().readyAt != 0)
                .forEach(each -> each.faults().fail(SystemFault.OPEN, Errno.EMFILE, duration));
        moveDiscovery();
    }

    private void restartSidecar(PlannedFault fault, boolean graceful) throws IOException {
        SidecarProcess sidecar = targetSidecar(fault);
        synchronized (sidecarLocks.get(sidecar.number())) {
            reloadLock.readLock().lock();
            try {
                restart(sidecar, graceful);
            } finally {
                reloadLock.readLock().unlock();
            }
        }
    }

    private void restart(SidecarProcess sidecar, boolean graceful) throws IOException {
        if (graceful) {
            terminateAndKill(sidecar);
        } else {
            sidecar.kill();
            sidecar.awaitExit(TimeUnit.SECONDS.toMillis(SidecarProcess.READY_TIMEOUT_S));
        }
        sidecar.faults().clear();
        fleet.configure(sidecar);
        sidecar.start();
        fleet.requireReady(sidecar);
        sidecar.awaitReloadable();
    }

    /** Sends SIGTERM, then SIGHUP and a second SIGTERM, and SIGKILL at the earliest time that is allowed. */
    private void terminateAndKill(SidecarProcess sidecar) throws IOException {
        sidecar.terminate();
        StubUpstream.sleep(SIGNAL_SPACING_MS);
        sidecar.reload();
        sidecar.signal("TERM");
        sidecar.awaitExit(fleet.settings().killAfterMs());
        sidecar.kill();
        sidecar.awaitExit(TimeUnit.SECONDS.toMillis(SidecarProcess.READY_TIMEOUT_S));
    }

    /**
     * Terminates all sidecars while their clients still send requests, and kills those that do not exit in
     * time. Reports a violation for each one that had already exited.
     */
    static void terminateAll(Fleet fleet) {
        for (SidecarProcess sidecar : fleet.sidecars()) {
            if (!sidecar.isAlive()) {
                fleet.history().report(new Violation(Invariant.ALIVE, "sidecar " + sidecar.number()
                        + " ended unbidden with status " + sidecar.currentLifetime().exitStatus));
            }
            sidecar.terminate();
        }
        StubUpstream.sleep(fleet.settings().killAfterMs());
        fleet.sidecars().forEach(SidecarProcess::kill);
    }
}
