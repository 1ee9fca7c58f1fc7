package pondridge.testbed;

import java.util.Random;

/**
 * Creates a random number generator for each use from the run's seed and the use's purpose, so that what it
 * draws does not depend on the order in which threads run.
 */
final class SeededRandom {
    private static final long SEED_MULTIPLIER = 0x9e3779b97f4a7c15L;

    private SeededRandom() { }

    /** The purpose has to have a hash code that is the same in every process, such as that of a string. */
    static Random create(long seed, Object purpose) {
        long mixed = (seed + 1) * SEED_MULTIPLIER ^ purpose.hashCode() * 0xbf58476d1ce4e5b9L;
        return new Random(mixed ^ mixed >>> 31);
    }
}
