package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: lines with the time in seconds since its start, in a file and on standard output. */
final class Recording {
    private final PrintWriter file;
    private final long startedAt = System.nanoTime();

    Recording(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8), true);
    }

    /** Milliseconds since the start of the run. */
    double nowMs() {
        return (System.nanoTime() - startedAt) / 1e6;
    }

    /** Adds a line to the file. */
    synchronized void add(String line) {
        file.println(String.format(Locale.ROOT, "%9.4f  ", nowMs() / 1000) + line);
    }

    /** Adds a line to the file and prints it. */
    void say(String line) {
        add(line);
        System.out.println(line);
    }
}
