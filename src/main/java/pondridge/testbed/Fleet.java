package pondridge.testbed;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The parties of one run: stub upstreams behind proxies, discovery, sidecar processes and their clients.
 */
final class Fleet implements AutoCloseable {
    private static final long OLD_DISCOVERY_ENDS_MS = 1_500;
    private static final int WARM_UP_PER_SECOND = 500;
    private static final int WARM_UP_MS = 1_500;

    private final SidecarSettings settings;
    private final long seed;
    private final RunHistory history = new RunHistory();
    private final StubDiscovery discovery = new StubDiscovery();
    private final List<StubUpstream> upstreams = new ArrayList<>();
    private final List<FaultProxy> proxies = new ArrayList<>();
    private final List<SidecarProcess> sidecars = new ArrayList<>();
    private final List<LoadGenerator> loads = new ArrayList<>();
    private final List<String> peers = new ArrayList<>();
    private int loadPhase;
    /** A testbed that is ended leaves no process behind. */
    private final Thread endAll = new Thread(() -> sidecars.forEach(SidecarProcess::kill), "end-all");
    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(null, work, "client", 256 * 1024);
        thread.setDaemon(true);
        return thread;
    });

    /** A fleet whose first sidecars write their logs as {@code logs} says, the others to files. */
    Fleet(SidecarSettings settings, int sidecarCount, int upstreamCount, long seed, Path folder,
            List<SidecarProcess.LogDestination> logs) throws IOException {
        this.settings = settings;
        this.seed = seed;
        for (int i = 0; i < upstreamCount; i++) {
            StubUpstream upstream = new StubUpstream("s-" + i, history, seed);
            upstreams.add(upstream);
            proxies.add(new FaultProxy("proxy-" + i, upstream.port()));
            list(i, "SERVING", 0);
        }
        for (int i = 0; i < sidecarCount; i++) {
            SidecarProcess.LogDestination log = i < logs.size() ? logs.get(i)
                    : SidecarProcess.LogDestination.FILE;
            SidecarProcess sidecar = new SidecarProcess(i, folder.resolve("sidecar-" + i), log,
                    settings.descriptors());
            sidecars.add(sidecar);
            peers.add(sidecar.endpoint());
        }
        Runtime.getRuntime().addShutdownHook(endAll);
    }

    RunHistory history() {
        return history;
    }

    StubDiscovery discovery() {
        return discovery;
    }

    List<StubUpstream> upstreams() {
        return upstreams;
    }

    List<FaultProxy> proxies() {
        return proxies;
    }

    List<SidecarProcess> sidecars() {
        return Collections.unmodifiableList(sidecars);
    }

    SidecarSettings settings() {
        return settings;
    }

    /** Puts an upstream on the list, or changes what the list says of it. */
    void list(int upstream, String state, long bootMs) {
        discovery.update(new StubDiscovery.ListEntry(upstreams.get(upstream).uid(),
                proxies.get(upstream).endpoint(), state, bootMs));
    }

    void configure(SidecarProcess sidecar) throws IOException {
        ObjectNode configuration = settings.configuration(sidecar.number(), sidecars.size(),
                sidecar.endpoint(), discovery.endpoint(), peers, discovery.list(), seed + sidecar.number());
        sidecar.writeConfiguration(configuration);
    }

    /**
     * Plays load against a stub without a sidecar, and keeps nothing of it: the first records of a cold
     * testbed are late by some hundred milliseconds.
     */
    private void warmUp() throws IOException {
        RunHistory unused = new RunHistory();
        try (StubUpstream upstream = new StubUpstream("warm-up", unused, seed);
                FaultProxy proxy = new FaultProxy("warm-up", upstream.port())) {
            LoadGenerator load = new LoadGenerator(0, proxy.address(), settings, unused, threads, "warm-up",
                    LoadGenerator.ClientMix.MIXED);
            load.start(WARM_UP_PER_SECOND);
            StubUpstream.sleep(WARM_UP_MS);
            load.stop();
            load.closeResting();
        }
    }

    /** Starts all sidecars and waits until they are ready; reports those that are not in time. */
    void start() throws IOException {
        warmUp();
        for (SidecarProcess sidecar : sidecars) {
            configure(sidecar);
            sidecar.start();
        }
        sidecars.forEach(this::expectReady);
    }

    void expectReady(SidecarProcess sidecar) {
        if (!sidecar.awaitReady()) {
            history.report(new Violation(Invariant.ALIVE, "sidecar " + sidecar.number() + " not ready within "
                    + SidecarProcess.READY_TIMEOUT_S + " s"));
        }
    }

    /** Starts the clients of all sidecars, again after {@link #stopLoad}. */
    void startLoad(int perSecond, LoadGenerator.ClientMix manners) {
        loadPhase++;
        for (SidecarProcess sidecar : sidecars) {
            String run = seed + "/" + loadPhase;
            LoadGenerator load = new LoadGenerator(sidecar.number(), sidecar.address(), settings, history,
                    threads, run, manners);
            loads.add(load);
            load.start(perSecond);
        }
    }

    /** Stops the clients and waits until the last request has been answered or is lost. */
    void stopLoad() {
        loads.forEach(LoadGenerator::stop);
        int longest = settings.deadlinesMs().stream().mapToInt(Integer::intValue).max().orElseThrow();
        StubUpstream.sleep(longest + 2 * LoadGenerator.ANSWER_SLACK_MS);
        loads.forEach(LoadGenerator::closeResting);
        loads.clear();
    }

    /** Lets discovery move, and tells the sidecars by so many SIGHUPs in a row. */
    void moveDiscovery(int signals) throws IOException {
        history.discoveryMoved();
        discovery.move(OLD_DISCOVERY_ENDS_MS);
        for (SidecarProcess sidecar : sidecars) {
            configure(sidecar);
        }
        for (int i = 0; i < signals; i++) {
            for (SidecarProcess sidecar : sidecars) {
                sidecar.reload();
            }
        }
    }

    @Override
    public void close() throws IOException {
        Runtime.getRuntime().removeShutdownHook(endAll);
        for (SidecarProcess sidecar : sidecars) {
            sidecar.kill();
        }
        for (SidecarProcess sidecar : sidecars) {
            sidecar.close();
        }
        threads.shutdownNow();
        for (FaultProxy proxy : proxies) {
            proxy.close();
        }
        for (StubUpstream upstream : upstreams) {
            upstream.close();
        }
        discovery.close();
    }
}
