package pondridge.testbed;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Why a sidecar refused or failed requests, counted from the lines that it logged about them. The log omits
 * lines beyond a limit per second and gives their number, which is counted as {@link #OMITTED}.
 */
final class FailureSummary {
    private static final Pattern LINE =
            Pattern.compile("ended badly: \\S+ \\S+ (refused|failed) (\\S+) .*");
    private static final Pattern OMITTED_LINES = Pattern.compile("before it (\\d+) not shown");
    private static final String OMITTED = "not logged";

    private final Map<String, Long> counts = new TreeMap<>();
    private final List<String> stateLines = new ArrayList<>();

    private FailureSummary() { }

    /** Reads the log of one sidecar; the summary is empty if the sidecar does not log to a file. */
    static FailureSummary of(SidecarProcess sidecar) throws IOException {
        FailureSummary summary = new FailureSummary();
        sidecar.logLines().forEach(summary::add);
        return summary;
    }

    private void add(String line) {
        Matcher failure = LINE.matcher(line);
        if (failure.matches()) {
            counts.merge(failure.group(1) + " " + failure.group(2), 1L, Long::sum);
        }
        Matcher omitted = OMITTED_LINES.matcher(line);
        if (omitted.find()) {
            counts.merge(OMITTED, Long.parseLong(omitted.group(1)), Long::sum);
        }
        if (line.startsWith("state:")) {
            stateLines.add(line);
        }
    }

    /** The number of requests by their result and reason, such as "refused SHED", and all state lines. */
    @Override
    public String toString() {
        return "not served, by reason: " + counts + "\n" + String.join("\n", stateLines);
    }
}
