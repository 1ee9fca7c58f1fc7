package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The start script sizes the heap for the memory limit in the configuration. It runs with a stand-in for
 * {@code java} as the only program that can be found: the shell's builtins have to do for all else.
 */
class RunScriptTest {
    private static final String DEFAULT_HEAP = "-Xmx80m";

    @TempDir
    private Path directory;

    /** The heap was 80 MB under any limit, so that a process with a limit of 64 MB passed it. */
    @Test
    void theHeapDidNotFollowTheMemoryLimit() throws Exception {
        assertEquals("-Xmx12m", heapFor("{\"limits\":{\"memory_mb\":32}}"));
        assertEquals("-Xmx16m", heapFor("{\"limits\":{\"memory_mb\":48,\"sockets\":256}}"));
        assertEquals("-Xmx32m", heapFor("{\"limits\":{\"cores\":1.0,\"memory_mb\":64}}"));
        assertEquals("-Xmx64m", heapFor("{\n \"limits\": {\n  \"memory_mb\" : 96,\n  \"sockets\": 256}}\n"));
        assertEquals("-Xmx80m", heapFor("{\"limits\":{\"memory_mb\":192}}"));
    }

    /** The script leaves it to the program to report what is wrong with a configuration. */
    @Test
    void withoutAReadableLimitTheHeapHasItsLargestSize() throws Exception {
        for (String config : List.of("", "{", "{\"limits\":{\"memory_mb\":\"\"}}",
                "{\"limits\":{\"memory_mb\":08}}", "{\"limits\":{\"memory_mb\":99999999999999999999}}")) {
            assertEquals(DEFAULT_HEAP, heapFor(config), config);
        }
        assertEquals(DEFAULT_HEAP, heapIn(Map.of("PROXY_CONFIG", directory.resolve("none").toString())));
        assertEquals(DEFAULT_HEAP, heapIn(Map.of()));
    }

    private String heapFor(String config) throws Exception {
        Path file = Files.writeString(directory.resolve("a config.json"), config);
        return heapIn(Map.of("PROXY_CONFIG", file.toString()));
    }

    private String heapIn(Map<String, String> environment) throws IOException, InterruptedException {
        Path java = directory.resolve("java");
        Files.writeString(java,
                "#!/bin/sh\nfor option; do case $option in -Xmx*) echo $option;; esac; done\n");
        assertTrue(java.toFile().setExecutable(true));
        ProcessBuilder builder = DeployedProcess.command("run");
        builder.environment().clear();
        builder.environment().putAll(environment);
        builder.environment().put("PATH", directory.toString());
        Process process = builder.redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        assertEquals(0, process.waitFor(), output);
        return output;
    }
}
