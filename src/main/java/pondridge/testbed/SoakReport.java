package pondridge.testbed;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import pondridge.testbed.RequestRecord.End;

/** The report on one run: counts of requests by their end, latencies, injected faults and violations. */
final class SoakReport {
    private static final int MAX_SHOWN_VIOLATIONS = 20;
    /** Longer latencies are recorded as this value. */
    private static final int MAX_LATENCY_MS = 60_000;
    private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};
    private static final ObjectMapper JSON = new ObjectMapper();

    private final SoakPlan plan;
    private final List<Violation> violations;
    private final Map<End, Integer> ends = new EnumMap<>(End.class);
    private final Map<SystemFault, Long> injected = new EnumMap<>(SystemFault.class);
    /** Latencies of the requests that got a response. */
    private final Histogram latencyMs = new Histogram(MAX_LATENCY_MS, 3);
    /** One line for each sidecar. */
    private final List<String> resources = new ArrayList<>();
    private final String delays;
    private int attempts;

    /**
     * @param delays how much the machine held up the testbed, see {@link Fleet#describeDelays}
     */
    SoakReport(SoakPlan plan, RunHistory history, List<Violation> violations, String delays) {
        this.plan = plan;
        this.delays = delays;
        this.violations = violations;
        this.attempts = history.attempts().size();
        for (RequestRecord request : history.requests()) {
            ends.merge(request.end, 1, Integer::sum);
            if (request.end == End.SERVED || request.end == End.REFUSED || request.end == End.FAILED) {
                long elapsedMs = (request.endedAt - request.sentAt) / 1_000_000;
                latencyMs.recordValue(Math.min(MAX_LATENCY_MS, elapsedMs));
            }
        }
    }

    /**
     * Adds the system calls that were made to fail in one sidecar, the resources that it used, and why it
     * refused or failed requests.
     */
    void add(SidecarProcess sidecar, ResourceUsage usage) throws IOException {
        sidecar.faults().injectedCounts().forEach((fault, count) -> injected.merge(fault, count, Long::sum));
        resources.add("sidecar " + sidecar.number() + ": " + usage + "; " + FailureSummary.of(sidecar));
    }

    List<Violation> violations() {
        return violations;
    }

    /** Returns how many requests ended this way. */
    int count(End end) {
        return ends.getOrDefault(end, 0);
    }

    /** Returns how many requests were recorded. */
    int requests() {
        return ends.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns how many calls were made to fail by this fault, in all sidecars. */
    long injected(SystemFault fault) {
        return injected.getOrDefault(fault, 0L);
    }

    /** Returns the counts of the report on one line. */
    String summary() {
        return "seed " + plan.seed() + (plan.idleClients() ? " crowded" : "") + ": " + requests()
                + " requests " + ends + ", " + attempts + " attempts, p99 "
                + latencyMs.getValueAtPercentile(99) + " ms, violations " + violations.size()
                + (violations.isEmpty() ? "" : " " + countByInvariant()) + "; " + delays;
    }

    private Map<Invariant, Integer> countByInvariant() {
        Map<Invariant, Integer> counts = new TreeMap<>();
        violations.forEach(each -> counts.merge(each.invariant(), 1, Integer::sum));
        return counts;
    }

    /** Returns the report as text, with the first {@link #MAX_SHOWN_VIOLATIONS} violations. */
    String text() {
        StringBuilder text = new StringBuilder(summary()).append('\n');
        text.append("settings: ").append(plan.settings()).append('\n');
        for (double percentile : PERCENTILES) {
            text.append("answered within, percentile ").append(percentile).append(": ")
                    .append(latencyMs.getValueAtPercentile(percentile)).append(" ms\n");
        }
        text.append("calls made to fail: ").append(injected).append('\n');
        resources.forEach(each -> text.append(each).append('\n'));
        plan.faults().forEach(each -> text.append("trouble at ").append(each).append('\n'));
        violations.stream().limit(MAX_SHOWN_VIOLATIONS)
                .forEach(each -> text.append("VIOLATION ").append(each).append('\n'));
        if (violations.size() > MAX_SHOWN_VIOLATIONS) {
            text.append("and ").append(violations.size() - MAX_SHOWN_VIOLATIONS).append(" more\n");
        }
        return text.toString();
    }

    /** Returns the counts, latencies and all violations as JSON, for programs. */
    ObjectNode json() {
        ObjectNode root = JSON.createObjectNode().put("seed", plan.seed()).put("crowded", plan.idleClients())
                .put("requests", requests()).put("attempts", attempts);
        root.put("delays", delays);
        ObjectNode counts = root.putObject("ends");
        ends.forEach((end, count) -> counts.put(end.name(), count));
        ObjectNode latency = root.putObject("latencyMs");
        for (double percentile : PERCENTILES) {
            latency.put(Double.toString(percentile), latencyMs.getValueAtPercentile(percentile));
        }
        ObjectNode calls = root.putObject("injected");
        injected.forEach((fault, count) -> calls.put(fault.name(), count));
        ArrayNode violationTexts = root.putArray("violations");
        violations.forEach(each -> violationTexts.add(each.toString()));
        return root;
    }
}
