package pondridge;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Skips the tests that KNOWN-RED.txt lists as known to fail, and prints the entry of each test that it skips.
 * An entry is a line that begins with {@code Class#method |}, or {@code Class#method[2] |} for the second set
 * of arguments of a parameterized test; the rest of the line and the indented lines below it are notes. With
 * {@code -Dknown.red=run} no test is skipped. JUnit loads this class as an extension of all tests.
 */
public final class KnownRed implements ExecutionCondition {
    private static final Path FILE = Path.of("KNOWN-RED.txt");
    private static final Pattern ENTRY = Pattern.compile("\\w+#\\w+(\\[\\d+\\])? \\|.*");
    private static final Pattern INVOCATION_INDEX = Pattern.compile("\\[\\d+\\]");
    private static final boolean RUN = "run".equals(System.getProperty("known.red"));

    @Override
    public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
        String test = context.getTestMethod().map(method ->
                method.getDeclaringClass().getSimpleName() + "#" + method.getName()).orElse("")
                + invocationIndex(context);
        for (String line : entries()) {
            if (!RUN && line.startsWith(test + " |")) {
                System.out.println("KNOWN RED, passed over: " + line);
                return ConditionEvaluationResult.disabled("known red: " + line);
            }
        }
        return ConditionEvaluationResult.enabled("not known to be red");
    }

    /** The index of a set of arguments in brackets, which begins the name of its run; else empty. */
    private static String invocationIndex(ExtensionContext context) {
        Matcher index = INVOCATION_INDEX.matcher(context.getDisplayName());
        return index.lookingAt() ? index.group() : "";
    }

    private static List<String> entries() {
        try {
            if (!Files.exists(FILE)) {
                return List.of();
            }
            return Files.readAllLines(FILE).stream().filter(line -> ENTRY.matcher(line).matches()).toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
