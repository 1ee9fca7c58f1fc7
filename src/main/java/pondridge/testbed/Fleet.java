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
 * The processes and stubs of one run: stub upstreams behind fault proxies, a stub discovery service, sidecar
 * processes, and the load generators that act as their clients.
 */
final class Fleet implements AutoCloseable {
    private static final long OLD_DISCOVERY_RESET_MS = 1_500;
    private static final int WARM_UP_EXCHANGES_PER_SECOND = 500;
    private static final int WARM_UP_MS = 1_500;

    private final SidecarSettings settings;
    private final long seed;
    private final RunHistory history = new RunHistory();
    private final HostLoad hostLoad = new HostLoad();
    private final StubDiscovery discovery = new StubDiscovery();
    private final List<StubUpstream> upstreams = new ArrayList<>();
    private final List<FaultProxy> proxies = new ArrayList<>();
    private final List<SidecarProcess> sidecars = new ArrayList<>();
    private final List<LoadGenerator> loadGenerators = new ArrayList<>();
    private final List<String> peers = new ArrayList<>();
    private int loadCount;
    /** Kills the sidecar processes when the testbed itself is ended. */
    private final Thread killOnShutdown =
            new Thread(() -> sidecars.forEach(SidecarProcess::kill), "kill-sidecars");
    private final ExecutorService clientThreads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(null, work, "client", 256 * 1024);
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Creates the stubs; {@link #start} starts the sidecars.
     *
     * @param logs the log destinations of the first sidecars; the others log to files
     */
    Fleet(SidecarSettings settings, int sidecarCount, int upstreamCount, long seed, Path folder,
            List<SidecarProcess.LogDestination> logs) throws IOException {
        this.settings = settings;
        this.seed = seed;
        for (int i = 0; i < upstreamCount; i++) {
            StubUpstream upstream = new StubUpstream("s-" + i, history, seed);
            upstreams.add(upstream);
            proxies.add(new FaultProxy("proxy-" + i, upstream));
            updateListEntry(i, "SERVING", 0);
        }
        for (int i = 0; i < sidecarCount; i++) {
            SidecarProcess.LogDestination log = i < logs.size() ? logs.get(i)
                    : SidecarProcess.LogDestination.FILE;
            SidecarProcess sidecar = new SidecarProcess(i, folder.resolve("sidecar-" + i), log,
                    settings.descriptors());
            sidecars.add(sidecar);
            peers.add(sidecar.endpoint());
        }
        Runtime.getRuntime().addShutdownHook(killOnShutdown);
    }

    RunHistory history() {
        return history;
    }

    /** What was recorded in the sidecars so far, matched with the attempts in the history. */
    RecordedTimes recordedTimes() {
        return new RecordedTimes(history, sidecars.stream()
                .map(sidecar -> sidecar.trace().recording(sidecar.number())).toList());
    }

    /** How much the machine has held up the testbed since the fleet was created, for the report. */
    String describeDelays() {
        return hostLoad.describe() + "; " + recordedTimes().describeDelays();
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

    /** Adds an upstream to discovery's list, or changes or deletes its entry. */
    void updateListEntry(int upstream, String state, long bootMs) {
        discovery.update(new StubDiscovery.ListEntry(upstreams.get(upstream).uid(),
                proxies.get(upstream).endpoint(), state, bootMs));
    }

    /** Writes a sidecar's configuration file with the current address of discovery and the current list. */
    void configure(SidecarProcess sidecar) throws IOException {
        ObjectNode configuration = settings.configuration(sidecar.number(), sidecars.size(),
                sidecar.endpoint(), discovery.endpoint(), peers, discovery.list(), seed + sidecar.number());
        sidecar.writeConfiguration(configuration);
    }

    /**
     * Runs load against a stub upstream without a sidecar and discards its records. Without it, the testbed's
     * JVM still loads its code, and the first times that it records are some hundred milliseconds too late.
     */
    private void warmUp() throws IOException {
        RunHistory discarded = new RunHistory();
        try (StubUpstream upstream = new StubUpstream("warm-up", discarded, seed);
                FaultProxy proxy = new FaultProxy("warm-up", upstream)) {
            LoadGenerator generator = new LoadGenerator(0, proxy.address(), settings, discarded,
                    clientThreads, "warm-up", LoadGenerator.ClientMix.MIXED);
            generator.start(WARM_UP_EXCHANGES_PER_SECOND);
            StubUpstream.sleep(WARM_UP_MS);
            generator.stop();
            generator.closeIdleConnections();
        }
    }

    /** Starts all sidecars and waits until they are ready; reports a violation for each one that is late. */
    void start() throws IOException {
        warmUp();
        for (SidecarProcess sidecar : sidecars) {
            configure(sidecar);
            sidecar.start();
        }
        sidecars.forEach(this::requireReady);
    }

    /** Waits until a sidecar is ready, and reports a violation if it is not in time. */
    void requireReady(SidecarProcess sidecar) {
        if (!sidecar.awaitReady()) {
            history.report(new Violation(Invariant.ALIVE, "sidecar " + sidecar.number() + " not ready within "
                    + SidecarProcess.READY_TIMEOUT_S + " s"));
        }
    }

    /** Starts the clients of all sidecars. Can be called again after {@link #stopLoad}. */
    void startLoad(int exchangesPerSecond, LoadGenerator.ClientMix clientMix) {
        loadCount++;
        for (SidecarProcess sidecar : sidecars) {
            String run = seed + "/" + loadCount;
            LoadGenerator generator = new LoadGenerator(sidecar.number(), sidecar.address(), settings,
                    history, clientThreads, run, clientMix);
            loadGenerators.add(generator);
            generator.start(exchangesPerSecond);
        }
    }

    /** Stops the clients and waits until every request has its response or its time has passed. */
    void stopLoad() {
        loadGenerators.forEach(LoadGenerator::stop);
        int maxDeadlineMs = settings.deadlinesMs().stream().mapToInt(Integer::intValue).max().orElseThrow();
        StubUpstream.sleep(maxDeadlineMs + 2 * LoadGenerator.RESPONSE_SLACK_MS);
        loadGenerators.forEach(LoadGenerator::closeIdleConnections);
        loadGenerators.clear();
    }

    /** Moves discovery to another address and sends each sidecar the given number of SIGHUPs in a row. */
    void moveDiscovery(int signalCount) throws IOException {
        history.discoveryMoved();
        discovery.move(OLD_DISCOVERY_RESET_MS);
        for (SidecarProcess sidecar : sidecars) {
            configure(sidecar);
        }
        for (int i = 0; i < signalCount; i++) {
            for (SidecarProcess sidecar : sidecars) {
                sidecar.reload();
            }
        }
    }

    @Override
    public void close() throws IOException {
        Runtime.getRuntime().removeShutdownHook(killOnShutdown);
        for (SidecarProcess sidecar : sidecars) {
            sidecar.kill();
        }
        for (SidecarProcess sidecar : sidecars) {
            sidecar.close();
        }
        clientThreads.shutdownNow();
        for (FaultProxy proxy : proxies) {
            proxy.close();
        }
        for (StubUpstream upstream : upstreams) {
            upstream.close();
        }
        discovery.close();
        hostLoad.close();
    }
}
