package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StallEstimatorTest {
    private static final long MS = 1_000_000;

    @Test
    void theWorstStallCountsUntilItIsLongAgo() {
        StallEstimator stalls = new StallEstimator();
        long now = 5_000 * MS;
        assertTrue(stalls.recent(now) >= 10 * MS, "a program just started is expected to stall");
        stalls.lasted(now, 200 * MS);
        stalls.lasted(now + MS, 2 * MS);
        assertTrue(stalls.recent(now + MS) > 190 * MS, "short stretches do not hide it");
        stalls.lasted(now + 60_000 * MS, 3 * MS);
        assertEquals(3 * MS, stalls.recent(now + 60_000 * MS), "a minute later it is forgotten");
    }
}
