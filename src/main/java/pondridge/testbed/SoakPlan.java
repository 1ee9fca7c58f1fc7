package pondridge.testbed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * All that one run does, drawn from its seed.
 *
 * @param troubledMs how long troubles begin; each ends by itself
 * @param perSecond exchanges that each sidecar's clients begin in a second
 * @param stuckLogs how many sidecars have a log that nobody reads; as many write to a full disk
 * @param crowded whether idle clients fill the descriptors of some sidecars
 */
record SoakPlan(long seed, int sidecars, int upstreams, long troubledMs, int perSecond,
        SidecarSettings settings, int stuckLogs, boolean crowded, List<PlannedFault> troubles) {
    private static final int LONGEST_CALL_FAULT_MS = 400;
    private static final int LONGEST_TROUBLE_MS = 3_000;
    private static final int SHORTEST_MS = 50;
    private static final int[] DEADLINES_MS = {400, 700, 1_200, 2_000, 3_000, 5_000};
    private static final int[] DESCRIPTORS = {256, 512, 1_024};

    /** How large a run is; everything else follows from the seed. */
    record Size(int sidecars, int upstreams, int troubledSeconds, int perSecond, int troublesPerSecond) { }

    static SoakPlan draw(long seed, Size size, boolean crowded) {
        Random random = SeededRandom.create(seed, "plan");
        List<Integer> deadlines = new ArrayList<>();
        for (RequestClass kind : RequestClass.values()) {
            deadlines.add(DEADLINES_MS[random.nextInt(DEADLINES_MS.length)]);
        }
        int descriptors = DESCRIPTORS[random.nextInt(DESCRIPTORS.length)];
        SidecarSettings settings = new SidecarSettings(deadlines, descriptors, random.nextInt(4) > 0,
                1.5 + random.nextInt(4) / 2.0);
        long troubledMs = size.troubledSeconds() * 1_000L;
        List<PlannedFault> troubles = new ArrayList<>();
        for (int i = 0; i < size.troubledSeconds() * size.troublesPerSecond(); i++) {
            troubles.add(trouble(random, troubledMs));
        }
        troubles.sort(Comparator.comparingLong(PlannedFault::atMs));
        return new SoakPlan(seed, size.sidecars(), size.upstreams(), troubledMs, size.perSecond(), settings,
                Math.max(1, size.sidecars() / 10), crowded, List.copyOf(troubles));
    }

    private static PlannedFault trouble(Random random, long troubledMs) {
        PlannedFault.Type kind =
                PlannedFault.Type.values()[random.nextInt(PlannedFault.Type.values().length)];
        int longest = kind.systemFault() == null ? LONGEST_TROUBLE_MS : LONGEST_CALL_FAULT_MS;
        if (kind.systemFault() == SystemFault.WALL_CLOCK) {
            longest = LONGEST_TROUBLE_MS;
        }
        long length = SHORTEST_MS + random.nextInt(longest);
        boolean all = kind.systemFault() != null && random.nextInt(4) == 0;
        return new PlannedFault(kind, (long) (random.nextDouble() * troubledMs), length,
                all ? PlannedFault.ALL : random.nextInt(1 << 20));
    }
}
