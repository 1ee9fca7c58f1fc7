package pondridge.testbed;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import pondridge.testbed.RequestRecord.End;

/** The result of one run: counts, percentiles, what was injected, and the violations found. */
final class SoakReport {
    private static final int MOST_SHOWN = 20;
    private static final int LONGEST_MS = 60_000;
    private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};
    private static final ObjectMapper JSON = new ObjectMapper();

    private final SoakPlan plan;
    private final List<Violation> violations;
    private final Map<End, Integer> ends = new EnumMap<>(End.class);
    private final Map<SystemFault, Long> injected = new EnumMap<>(SystemFault.class);
    private final Histogram latencyMs = new Histogram(LONGEST_MS, 3);
    private final List<String> resources = new ArrayList<>();
    private int attempts;

    SoakReport(SoakPlan plan, RunHistory history, List<Violation> violations) {
        this.plan = plan;
        this.violations = violations;
        this.attempts = history.attempts().size();
        for (RequestRecord request : history.requests()) {
            ends.merge(request.end, 1, Integer::sum);
            if (request.end == End.SERVED || request.end == End.REFUSED || request.end == End.FAILED) {
                long took = (request.endedAt - request.sentAt) / 1_000_000;
                latencyMs.recordValue(Math.min(LONGEST_MS, took));
            }
        }
    }

    /** Takes which calls were made to fail in one sidecar, and what it used. */
    void add(SidecarProcess sidecar, ResourceUsage usage) {
        sidecar.faults().injectedCounts().forEach((fault, count) -> injected.merge(fault, count, Long::sum));
        resources.add("sidecar " + sidecar.number() + ": " + usage);
    }

    List<Violation> violations() {
        return violations;
    }

    int count(End end) {
        return ends.getOrDefault(end, 0);
    }

    int requests() {
        return ends.values().stream().mapToInt(Integer::intValue).sum();
    }

    long injected(SystemFault fault) {
        return injected.getOrDefault(fault, 0L);
    }

    /** One line, for a list of many runs. */
    String line() {
        return "seed " + plan.seed() + (plan.idleClients() ? " crowded" : "") + ": " + requests()
                + " requests " + ends + ", " + attempts + " attempts, p99 "
                + latencyMs.getValueAtPercentile(99) + " ms, violations " + violations.size()
                + (violations.isEmpty() ? "" : " " + byInvariant());
    }

    private Map<Invariant, Integer> byInvariant() {
        Map<Invariant, Integer> counts = new TreeMap<>();
        violations.forEach(each -> counts.merge(each.invariant(), 1, Integer::sum));
        return counts;
    }

    /** The whole report, for a person. */
    String text() {
        StringBuilder text = new StringBuilder(line()).append('\n');
        text.append("settings: ").append(plan.settings()).append('\n');
        for (double percentile : PERCENTILES) {
            text.append("answered within, percentile ").append(percentile).append(": ")
                    .append(latencyMs.getValueAtPercentile(percentile)).append(" ms\n");
        }
        text.append("calls made to fail: ").append(injected).append('\n');
        resources.forEach(each -> text.append(each).append('\n'));
        plan.faults().forEach(each -> text.append("trouble at ").append(each).append('\n'));
        violations.stream().limit(MOST_SHOWN)
                .forEach(each -> text.append("VIOLATION ").append(each).append('\n'));
        if (violations.size() > MOST_SHOWN) {
            text.append("and ").append(violations.size() - MOST_SHOWN).append(" more\n");
        }
        return text.toString();
    }

    /** The same for programs. */
    ObjectNode json() {
        ObjectNode root = JSON.createObjectNode().put("seed", plan.seed()).put("crowded", plan.idleClients())
                .put("requests", requests()).put("attempts", attempts);
        ObjectNode counts = root.putObject("ends");
        ends.forEach((end, count) -> counts.put(end.name(), count));
        ObjectNode latency = root.putObject("latencyMs");
        for (double percentile : PERCENTILES) {
            latency.put(Double.toString(percentile), latencyMs.getValueAtPercentile(percentile));
        }
        ObjectNode calls = root.putObject("injected");
        injected.forEach((fault, count) -> calls.put(fault.name(), count));
        ArrayNode broken = root.putArray("violations");
        violations.forEach(each -> broken.add(each.toString()));
        return root;
    }
}
