package pondridge;

/** A sum with exponential decay: an amount that was added one window ago counts 1/e of its value. */
final class DecayingSum {
    private final double window;  // in ns
    private double value;
    private long updatedAt;  // 0 before the first add

    /** Starts with {@code initial}, which decays only from the first {@link #add} on. */
    DecayingSum(double window, double initial) {
        this.window = window;
        this.value = initial;
    }

    double value(long now) {
        return updatedAt == 0 ? value : value * Math.exp((updatedAt - now) / window);
    }

    void add(long now, double amount) {
        value = value(now) + amount;
        updatedAt = now;
    }
}
