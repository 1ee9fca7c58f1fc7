package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Too low an estimate leaves too little time for a response before its deadline. */
class StallEstimatorTest {
    /** One millisecond in nanoseconds. */
    private static final long MS = 1_000_000;

    @Test
    void theLongestStallCountsUntilItHasDecayed() {
        StallEstimator estimator = new StallEstimator();
        long now = 5_000 * MS;
        assertTrue(estimator.estimateNanos(now) >= 10 * MS,
                "a program that has just started is expected to stall");
        estimator.stallEnded(now, 200 * MS);
        estimator.stallEnded(now + MS, 2 * MS);
        assertTrue(estimator.estimateNanos(now + MS) > 190 * MS, "shorter stalls do not replace it");
        estimator.stallEnded(now + 60_000 * MS, 3 * MS);
        assertEquals(3 * MS, estimator.estimateNanos(now + 60_000 * MS), "after a minute it has decayed");
    }
}
