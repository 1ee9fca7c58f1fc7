package pondridge.testbed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * The plan of one soak run, drawn from its seed. The same arguments always give the same plan.
 *
 * @param faultPhaseMs length of the phase in which faults begin, in milliseconds; a fault may outlast it
 * @param exchangesPerSecond how many exchanges the clients of each sidecar begin per second
 * @param blockedLogs how many sidecars log to a full pipe that nobody reads; as many log to a full disk
 * @param idleClients whether idle clients use up the file descriptors of some sidecars
 * @param faults the faults in the order of their beginning
 */
record SoakPlan(long seed, int sidecars, int upstreams, long faultPhaseMs, int exchangesPerSecond,
        SidecarSettings settings, int blockedLogs, boolean idleClients, List<PlannedFault> faults) {
    /** Fault durations are drawn from MIN_FAULT_MS up to MIN_FAULT_MS plus one of these ranges. */
    private static final int SYSTEM_FAULT_RANGE_MS = 400;
    private static final int FAULT_RANGE_MS = 3_000;
    private static final int MIN_FAULT_MS = 50;
    private static final int[] DEADLINES_MS = {400, 700, 1_200, 2_000, 3_000, 5_000};
    private static final int[] DESCRIPTORS = {256, 512, 1_024};

    /** The size of a run; everything else is drawn from the seed. */
    record Size(int sidecars, int upstreams, int faultPhaseSeconds, int exchangesPerSecond,
            int faultsPerSecond) { }

    static SoakPlan draw(long seed, Size size, boolean idleClients) {
        Random random = SeededRandom.create(seed, "plan");
        List<Integer> deadlines = new ArrayList<>();
        for (RequestClass requestClass : RequestClass.values()) {
            deadlines.add(DEADLINES_MS[random.nextInt(DEADLINES_MS.length)]);
        }
        int descriptors = DESCRIPTORS[random.nextInt(DESCRIPTORS.length)];
        SidecarSettings settings = new SidecarSettings(deadlines, descriptors, random.nextInt(4) > 0,
                1.5 + random.nextInt(4) / 2.0);
        long faultPhaseMs = size.faultPhaseSeconds() * 1_000L;
        List<PlannedFault> faults = new ArrayList<>();
        for (int i = 0; i < size.faultPhaseSeconds() * size.faultsPerSecond(); i++) {
            faults.add(drawFault(random, faultPhaseMs));
        }
        faults.sort(Comparator.comparingLong(PlannedFault::atMs));
        return new SoakPlan(seed, size.sidecars(), size.upstreams(), faultPhaseMs, size.exchangesPerSecond(),
                settings, Math.max(1, size.sidecars() / 10), idleClients, List.copyOf(faults));
    }

    private static PlannedFault drawFault(Random random, long faultPhaseMs) {
        PlannedFault.Type type =
                PlannedFault.Type.values()[random.nextInt(PlannedFault.Type.values().length)];
        int rangeMs = type.systemFault() == null ? FAULT_RANGE_MS : SYSTEM_FAULT_RANGE_MS;
        if (type.systemFault() == SystemFault.WALL_CLOCK) {
            rangeMs = FAULT_RANGE_MS;
        }
        long durationMs = MIN_FAULT_MS + random.nextInt(rangeMs);
        boolean all = type.systemFault() != null && random.nextInt(4) == 0;
        return new PlannedFault(type, (long) (random.nextDouble() * faultPhaseMs), durationMs,
                all ? PlannedFault.ALL : random.nextInt(1 << 20));
    }
}
