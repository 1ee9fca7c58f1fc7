package pondridge.testbed;

import java.util.Random;

/** Random numbers that depend on a seed and on what they are for, not on the order in which threads run. */
final class SeededRandom {
    private static final long MULTIPLIER = 0x9e3779b97f4a7c15L;

    private SeededRandom() { }

    static Random random(long seed, Object purpose) {
        long mixed = (seed + 1) * MULTIPLIER ^ purpose.hashCode() * 0xbf58476d1ce4e5b9L;
        return new Random(mixed ^ mixed >>> 31);
    }
}
