package pondridge.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The short, seeded soak; the long one is started by hand (README). */
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

    /** What a seed plays must not depend on when or where it is played. */
    @Test
    void aSeedDrawsTheSamePlanEachTime() {
        assertEquals(SoakPlan.draw(7, SIZE, true), SoakPlan.draw(7, SIZE, true));
    }
}
