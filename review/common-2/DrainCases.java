package review2;

/**
 * Cases on the rule of drains, each with two upstreams. One of them drains, and its process ends some time
 * after the rule allows nothing new to it: what it then has in work is lost.
 */
final class DrainCases {
    private static final double GRACE_MS = 250;
    private static final double SLACK_MS = 50;
    private static final int CLIENTS = 6;
    private static final long PAUSE_MS = 60;
    /** Of the case in which discovery has to be asked. */
    private static final long ASK_WITHIN_MS = 30_000;
    private static final int CALLS_IN_VAIN = 5;

    private final Recording record;
    private final Upstream staying;
    private final Upstream draining;

    private DrainCases(Recording record) throws Exception {
        this.record = record;
        this.staying = new Upstream("s-1", record);
        this.draining = new Upstream("s-2", record);
    }

    private Discovery discovery() throws Exception {
        Discovery discovery = new Discovery(record);
        discovery.put(staying.target("SERVING"));
        discovery.put(draining.target("SERVING"));
        return discovery;
    }

    private Loads load(Sidecar sidecar, String prefix) throws InterruptedException {
        return new Loads(CLIENTS, sidecar, prefix, PAUSE_MS, false, 2, record);
    }

    private void sleepUntil(double atMs) throws InterruptedException {
        Thread.sleep(Math.max(0, (long) (atMs - record.nowMs())));
    }

    /**
     * Ends the draining upstream at some time, and then judges: nothing new reached it later than the grace
     * of the settings after it counts as told, and 50 ms more, as for each time limit on real sockets.
     */
    private boolean endAndJudge(Loads loads, double toldMs, double endMs) throws Exception {
        int failedBefore = loads.total(load -> load.failed.get());
        sleepUntil(endMs);
        draining.end(record);
        Thread.sleep(1000);
        loads.close();
        if (loads.served() < 20 || staying.arrivals.size() < 20) {
            throw new IllegalStateException("too few requests were served: " + loads.served());
        }
        long late = 0;
        double last = 0;
        for (Upstream.Arrival arrival : draining.arrivals) {
            if (arrival.atMs() > toldMs + GRACE_MS + SLACK_MS) {
                late++;
                last = arrival.atMs() - toldMs;
                record.add("late: " + arrival.request().header("req-id") + " reached " + draining.uid + " "
                        + Math.round(last) + " ms after it counted as told");
            }
        }
        record.say(late + " requests reached " + draining.uid + " more than "
                + Math.round(GRACE_MS + SLACK_MS) + " ms after it counted as told that it drains"
                + (late == 0 ? "" : ", the last one " + Math.round(last) + " ms after"));
        record.say((loads.total(load -> load.failed.get()) - failedBefore)
                + " unsafe requests were answered as failed, cut off by the end of " + draining.uid);
        return late == 0;
    }

    /**
     * A sidecar is killed. While it is away an upstream begins to drain, the agent is told, and discovery goes
     * down. Then the sidecar is started with the list that it last had. Without the disruption discovery
     * stays up.
     */
    static boolean restartWhileDiscoveryIsDown(Recording record, boolean trouble) throws Exception {
        DrainCases run = new DrainCases(record);
        Discovery discovery = run.discovery();
        String known = discovery.list();
        try (Sidecar first = new Sidecar(record, discovery.address(), known, Sidecar.settings())) {
            first.awaitReady(record);
            try (Loads loads = run.load(first, "a")) {
                Thread.sleep(2000);
            }
            record.add("platform: kills the sidecar");
        }
        discovery.put(run.draining.target("DRAINING"));
        Thread.sleep(500);
        if (trouble) {
            discovery.mode(Discovery.Mode.SILENT);
        }
        double startedAt = record.nowMs();
        try (Sidecar second = new Sidecar(record, discovery.address(), known, Sidecar.settings())) {
            second.awaitReady(record);
            Loads loads = run.load(second, "b");
            Server.daemon(() -> {
                run.sleepUntil(startedAt + 4000);
                discovery.mode(Discovery.Mode.UP);
            });
            return run.endAndJudge(loads, startedAt, startedAt + 3500);
        }
    }

    /**
     * A new configuration moves discovery. The first watch there falls silent before its first line, and each
     * later one is answered at once. An upstream drains from the signal on.
     */
    static boolean silentWatchAfterReload(Recording record, boolean trouble) throws Exception {
        DrainCases run = new DrainCases(record);
        Discovery before = run.discovery();
        Discovery after = run.discovery();
        after.silentCalls = trouble ? 1 : 0;
        String known = before.list();
        try (Sidecar sidecar = new Sidecar(record, before.address(), known, Sidecar.settings())) {
            sidecar.awaitReady(record);
            Loads loads = run.load(sidecar, "a");
            Thread.sleep(3000);
            sidecar.config(after.address(), known, Sidecar.settings());
            after.put(run.draining.target("DRAINING"));
            double signalAt = record.nowMs();
            record.add("platform: SIGHUP");
            sidecar.signal("HUP");
            before.stopListening();
            run.sleepUntil(signalAt + 1500);
            before.mode(Discovery.Mode.REFUSING);
            if (after.calls == 0) {
                throw new IllegalStateException("no reload: was the case started with SIGHUP ignored?");
            }
            return run.endAndJudge(loads, signalAt + 4000, signalAt + 4800);
        }
    }

    /**
     * Discovery has to be asked, and its process is away until the sidecar has called in vain several times.
     * When it is back it answers each call at once, with a list in which an upstream drains.
     */
    static boolean outageOfAskedDiscovery(Recording record, boolean trouble) throws Exception {
        DrainCases run = new DrainCases(record);
        Discovery discovery = run.discovery();
        String settings = Sidecar.settings().replace("\"discovery\":\"automatic\"",
                "\"discovery\":\"subscribe\"").replace("\"askWithin\":10000000000",
                "\"askWithin\":" + ASK_WITHIN_MS + "000000");
        try (Sidecar sidecar = new Sidecar(record, discovery.address(), discovery.list(), settings)) {
            sidecar.awaitReady(record);
            Loads loads = run.load(sidecar, "a");
            Thread.sleep(3000);
            if (trouble) {
                double downAt = record.nowMs();
                discovery.mode(Discovery.Mode.REFUSING);
                int calls = discovery.calls;
                while (discovery.calls < calls + CALLS_IN_VAIN && record.nowMs() - downAt < 50_000) {
                    Thread.sleep(20);
                }
                Thread.sleep(200);
                record.say("discovery was away for " + Math.round(record.nowMs() - downAt) + " ms");
            }
            discovery.put(run.draining.target("DRAINING"));
            discovery.mode(Discovery.Mode.UP);
            double backAt = record.nowMs();
            return run.endAndJudge(loads, backAt + 6000, backAt + 7000);
        }
    }
}
