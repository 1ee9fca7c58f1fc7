package pondridge.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs the soak for a short time with fixed seeds. Longer soaks are started with {@link Main}. */
@Isolated
class SoakIT {
    private static final SoakPlan.Size SIZE = new SoakPlan.Size(10, 8, 15, 30, 6);

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void noInvariantBreaksUnderOverlappingFaults(long seed) throws IOException {
        SoakPlan plan = SoakPlan.draw(seed, SIZE, false);
        SoakReport report = new Soak(plan, Path.of("target", "soak", "ci-" + seed)).run();
        System.out.println(report.summary());
        assertEquals(List.of(), report.violations(), report::text);
    }

    /** A plan that depends on more than its arguments cannot be repeated from the seed of a failed run. */
    @Test
    void aSeedDrawsTheSamePlanEachTime() {
        assertEquals(SoakPlan.draw(7, SIZE, true), SoakPlan.draw(7, SIZE, true));
    }
}
