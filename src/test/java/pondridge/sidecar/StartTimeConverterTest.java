package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Converts start times of the wall clock while that clock is stepped forward and back. */
class StartTimeConverterTest {
    /** One millisecond in nanoseconds, the unit of all times without a suffix. */
    private static final long MS = 1_000_000;
    private static final long SECOND = 1_000 * MS;
    private static final long HOUR_MS = 3_600_000;
    private static final long WALL_MS = 1_700_000_000_000L;
    private static final long NOW = 1_000_000 * SECOND;
    private final StartTimeConverter converter = new StartTimeConverter();

    @Test
    void withoutAClockStepTheAgeIsThatOfTheWallClock() {
        converter.observe(NOW, WALL_MS);
        assertEquals(NOW - 7 * SECOND, converter.startedAt(1, WALL_MS - 7_000, NOW));
        assertEquals(0, converter.startedAt(2, 0, NOW));
    }

    /**
     * A step of the wall clock must not make an upstream that has just started warm, nor keep it cold for as
     * long as the step, such as an hour.
     */
    @Test
    void startsNearAClockStepCountAsRecentButNotAsFuture() {
        for (long step : new long[] {HOUR_MS, -HOUR_MS, 5_000, -5_000}) {
            StartTimeConverter stepped = new StartTimeConverter();
            stepped.observe(NOW, WALL_MS);
            long later = NOW + 10 * SECOND;
            stepped.observe(later, WALL_MS + 10_000 + step);
            long startedBefore = stepped.startedAt(1, WALL_MS + 8_000, later);
            long startedAfter = stepped.startedAt(2, WALL_MS + 9_000 + step, later);
            assertTrue(later - startedBefore <= 2 * SECOND && startedBefore <= later, "before " + step);
            assertTrue(later - startedAfter <= SECOND && startedAfter <= later, "after " + step);
        }
    }

    @Test
    void aRestartAfterABackwardStepIsALaterStart() {
        converter.observe(NOW, WALL_MS);
        long first = converter.startedAt(1, WALL_MS, NOW);
        assertEquals(first, converter.startedAt(1, WALL_MS, NOW + SECOND), "the same start");
        converter.observe(NOW + SECOND, WALL_MS + 1_000 - HOUR_MS);
        assertTrue(converter.startedAt(1, WALL_MS + 900 - HOUR_MS, NOW + SECOND) > first);
    }
}
