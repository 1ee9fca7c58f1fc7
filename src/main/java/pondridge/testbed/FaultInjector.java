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

/** Carries out the troubles of a plan on a fleet, each on a thread of its own so that they overlap. */
final class FaultInjector {
    private static final Duration SMALL_STEP = Duration.ofSeconds(5);
    private static final Duration LARGE_STEP = Duration.ofHours(1);
    /** A sidecar is held up for up to 150 ms (standing test); the two signals take some of it. */
    private static final int LONGEST_STALL_MS = 125;
    private static final int SIGNALS_IN_ROW = 3;
    private static final long SIGNAL_SPACING_MS = 30;

    private final Fleet fleet;
    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work, "trouble");
        thread.setDaemon(true);
        return thread;
    });
    private final ReadWriteLock reloads = new ReentrantReadWriteLock(true);
    private final List<Object> sidecarLocks = new ArrayList<>();
    private final List<Object> upstreamLocks = new ArrayList<>();

    FaultInjector(Fleet fleet) {
        this.fleet = fleet;
        fleet.sidecars().forEach(each -> sidecarLocks.add(new Object()));
        fleet.upstreams().forEach(each -> upstreamLocks.add(new Object()));
    }

    /** Begins each trouble at its time and waits for the last one to end. */
    void play(List<PlannedFault> troubles) {
        long startedAt = System.nanoTime();
        for (PlannedFault trouble : troubles) {
            StubUpstream.sleep(trouble.atMs() - (System.nanoTime() - startedAt) / 1_000_000);
            threads.execute(() -> cause(trouble));
        }
        threads.shutdown();
        try {
            threads.awaitTermination(1, TimeUnit.MINUTES);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void cause(PlannedFault trouble) {
        try {
            if (trouble.type().systemFault() != null) {
                failCalls(trouble);
            } else {
                causeOutside(trouble);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void failCalls(PlannedFault trouble) {
        Duration time = Duration.ofMillis(trouble.durationMs());
        Consumer<SidecarProcess> begin = switch (trouble.type()) {
            // A Java machine whose files can't be opened while it starts does not start.
            case OPEN_EMFILE -> sidecar -> {
                if (sidecar.currentLifetime().readyAt != 0) {
                    sidecar.faults().fail(SystemFault.OPEN, Errno.EMFILE, time);
                }
            };
            case CLOCK_FORWARD -> sidecar -> sidecar.faults().stepWallClock(step(trouble), time);
            case CLOCK_BACK -> sidecar -> sidecar.faults().stepWallClock(step(trouble).negated(), time);
            default -> sidecar -> sidecar.faults().fail(trouble.type().systemFault(),
                    trouble.type().error(), time, trouble.type().perMille());
        };
        if (trouble.target() == PlannedFault.ALL) {
            fleet.sidecars().forEach(begin);
        } else {
            begin.accept(sidecar(trouble));
        }
    }

    private static Duration step(PlannedFault trouble) {
        return trouble.target() % 2 == 0 ? SMALL_STEP : LARGE_STEP;
    }

    private SidecarProcess sidecar(PlannedFault trouble) {
        return fleet.sidecars().get(trouble.target() % fleet.sidecars().size());
    }

    private int upstream(PlannedFault trouble) {
        return trouble.target() % fleet.upstreams().size();
    }

    private void causeOutside(PlannedFault trouble) throws IOException {
        int upstream = upstream(trouble);
        switch (trouble.type()) {
            case STALL -> sidecar(trouble).stall(Math.min(LONGEST_STALL_MS, trouble.durationMs()));
            case UPSTREAM_TROUBLED -> inMood(upstream, UpstreamBehaviour.FAULTY, trouble.durationMs());
            case UPSTREAM_HUNG -> inMood(upstream, UpstreamBehaviour.HANGING, trouble.durationMs());
            case UPSTREAM_RESTART -> restartUpstream(upstream, trouble.durationMs());
            case UPSTREAM_DRAIN -> drainUpstream(upstream, trouble.durationMs());
            case PROXY_RESET -> fleet.proxies().get(upstream).resetConnections();
            case PROXY_HOLD -> fleet.proxies().get(upstream).delayResponses(trouble.durationMs());
            case PROXY_CUT -> fleet.proxies().get(upstream).fragmentResponses(trouble.durationMs());
            case WATCH_RESET -> fleet.discovery().resetWatches();
            case WATCH_SILENT -> {
                fleet.discovery().silenceWatches();
                fleet.history().watchesSilenced();
            }
            case RELOAD -> reload();
            case RELOAD_UNREADABLE -> reloadWhileFilesFail(trouble);
            case TERMINATE -> restartSidecar(trouble, true);
            case KILL -> restartSidecar(trouble, false);
            default -> throw new IllegalStateException(trouble.toString());
        }
    }

    private void inMood(int upstream, UpstreamBehaviour mood, long ms) {
        fleet.upstreams().get(upstream).setBehaviour(mood);
        StubUpstream.sleep(ms);
        fleet.upstreams().get(upstream).setBehaviour(UpstreamBehaviour.HEALTHY);
    }

    /** The upstream's process dies and starts anew, cold. */
    private void restartUpstream(int upstream, long downMs) throws IOException {
        synchronized (upstreamLocks.get(upstream)) {
            fleet.upstreams().get(upstream).crash();
            StubUpstream.sleep(downMs);
            fleet.upstreams().get(upstream).restart();
            fleet.updateListEntry(upstream, "SERVING", System.currentTimeMillis());
            fleet.history().told(fleet.upstreams().get(upstream).uid(), State.STARTED);
        }
    }

    /** The upstream drains, leaves the list, and comes back cold. */
    private void drainUpstream(int upstream, long ms) throws IOException {
        synchronized (upstreamLocks.get(upstream)) {
            String uid = fleet.upstreams().get(upstream).uid();
            fleet.updateListEntry(upstream, "DRAINING", 0);
            fleet.history().told(uid, State.DRAINING);
            StubUpstream.sleep(ms);
            fleet.updateListEntry(upstream, "DELETED", 0);
            fleet.history().told(uid, State.REMOVED);
            StubUpstream.sleep(ms);
            fleet.updateListEntry(upstream, "SERVING", System.currentTimeMillis());
            fleet.history().told(uid, State.STARTED);
        }
    }

    /** Not while a sidecar restarts: it would read the old file, and is too young for the signal. */
    private void reload() throws IOException {
        reloads.writeLock().lock();
        try {
            fleet.moveDiscovery(SIGNALS_IN_ROW);
        } finally {
            reloads.writeLock().unlock();
        }
    }

    /** The sidecar can't open the new configuration for a moment; it has to follow all the same. */
    private void reloadWhileFilesFail(PlannedFault trouble) throws IOException {
        Duration time = Duration.ofMillis(Math.min(500, trouble.durationMs()));
        fleet.sidecars().stream().filter(each -> each.currentLifetime().readyAt != 0)
                .forEach(each -> each.faults().fail(SystemFault.OPEN, Errno.EMFILE, time));
        reload();
    }

    private void restartSidecar(PlannedFault trouble, boolean orderly) throws IOException {
        SidecarProcess sidecar = sidecar(trouble);
        synchronized (sidecarLocks.get(sidecar.number())) {
            reloads.readLock().lock();
            try {
                restart(sidecar, orderly);
            } finally {
                reloads.readLock().unlock();
            }
        }
    }

    private void restart(SidecarProcess sidecar, boolean orderly) throws IOException {
        if (orderly) {
            terminate(sidecar);
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

    /** SIGTERM, more signals behind it, and SIGKILL at the earliest moment. */
    private void terminate(SidecarProcess sidecar) throws IOException {
        sidecar.terminate();
        StubUpstream.sleep(SIGNAL_SPACING_MS);
        sidecar.reload();
        sidecar.signal("TERM");
        sidecar.awaitExit(fleet.settings().killAfterMs());
        sidecar.kill();
        sidecar.awaitExit(TimeUnit.SECONDS.toMillis(SidecarProcess.READY_TIMEOUT_S));
    }

    /** Ends all sidecars in order while their clients go on; reports those that end unbidden. */
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
