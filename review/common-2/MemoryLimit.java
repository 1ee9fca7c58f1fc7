package review2;

/** A sidecar with a low memory limit, killed by the platform as soon as it uses more. */
final class MemoryLimit {
    /** Inside what the terms allow, and the lowest that the deploy file calls within reach. */
    private static final int MEMORY_MB = 64;
    /** Each sends one request in each second, all at the same moments. */
    private static final int CLIENTS = 80;
    private static final long PAUSE_MS = 1000;
    private static final int LONG_BODY = 1 << 16;

    private MemoryLimit() { }

    /** Requests and answers have bodies of 64 KiB; without the disruption, of a few bytes. */
    static boolean run(Recording record, boolean trouble) throws Exception {
        int bytes = trouble ? LONG_BODY : 100;
        Discovery discovery = new Discovery(record);
        for (int i = 0; i < 8; i++) {
            Upstream upstream = new Upstream("s-" + i, record);
            upstream.behaviour = (request, connection) -> {
                Thread.sleep(40);
                Upstream.served(connection, "z".repeat(bytes));
                return true;
            };
            discovery.put(upstream.target("SERVING"));
        }
        double peakMb = 0;
        boolean killed = false;
        try (Sidecar sidecar = new Sidecar(record, discovery.address(), discovery.list(),
                Sidecar.settings(), MEMORY_MB)) {
            sidecar.awaitReady(record);
            double readyMb = sidecar.privateMemoryMb();
            record.say("private memory when ready: " + Math.round(readyMb) + " MB");
            if (readyMb < 1 || readyMb > MEMORY_MB) {
                throw new IllegalStateException("memory can't be read, or is over the limit without load");
            }
            Loads loads = new Loads(CLIENTS, sidecar, "c", PAUSE_MS, true, bytes, record);
            for (int i = 0; i < 600 && !killed; i++) {
                double mb = sidecar.privateMemoryMb();
                peakMb = Math.max(peakMb, mb);
                killed = mb > MEMORY_MB;
                Thread.sleep(50);
            }
            int served = loads.served();
            record.say("private memory at most " + Math.round(peakMb) + " MB of " + MEMORY_MB + ", "
                    + served + " requests served");
            if (served < CLIENTS) {
                throw new IllegalStateException("too few requests were served");
            }
            if (killed) {
                sidecar.close();
                Thread.sleep(1500);
                record.say("the platform has killed the sidecar for memory; requests that got no answer: "
                        + loads.total(load -> load.unanswered.get()));
            }
        }
        return !killed;
    }
}
