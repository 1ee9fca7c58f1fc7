package pondridge;

/**
 * Expected response duration of a class in nanoseconds, linear in the hinted cost (moving least squares).
 */
final class LatencyEstimator {
    /** Of one response: averages over about the last 50. */
    private static final double MIN_WEIGHT = 0.02;

    private double mean;
    private long count;
    private double meanCost;
    private double meanSquaredCost;
    private double meanProduct;  // of duration and cost

    LatencyEstimator(double initialMean) {
        mean = initialMean;
    }

    /** The mean duration of all recent responses. */
    double mean() {
        return mean;
    }

    /** Adds a measured duration. The cost hint is 0 if the client gave none. */
    void add(double measured, double costHint) {
        // Limited to three times the expected: one slow upstream must not change what is expected.
        double duration = Math.min(measured, 3 * expected(costHint));
        double weight = Math.max(MIN_WEIGHT, 1.0 / ++count);
        mean += weight * (duration - mean);
        meanCost += weight * (costHint - meanCost);
        meanSquaredCost += weight * (costHint * costHint - meanSquaredCost);
        meanProduct += weight * (duration * costHint - meanProduct);
    }

    /** The expected duration of a request with this cost hint; 0 stands for an unknown cost. */
    double expected(double costHint) {
        double costVariance = meanSquaredCost - meanCost * meanCost;
        if (costHint <= 0 || costVariance <= 0) {
            return mean;
        }
        double slope = Math.max(0, (meanProduct - mean * meanCost) / costVariance);
        return Math.max(mean / 4, mean + slope * (costHint - meanCost));
    }
}
