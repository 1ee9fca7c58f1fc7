package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ProcessExitTest {
    @TempDir
    private Path folder;

    /** Without its event loop the process ended as if a shutdown had been asked for. */
    @Test
    void anErrorThatEndedTheEventLoopEndedTheProcessWithStatus0() throws Exception {
        Path log = folder.resolve("log");
        try (FakeUpstream upstream = FakeUpstream.serving("x")) {
            Process process = start(upstream, log);
            try {
                assertTrue(process.waitFor(FakeUpstream.TIMEOUT_S, TimeUnit.SECONDS),
                        () -> "still running: " + read(log));
                assertEquals(ProcessExit.FAILED, process.exitValue(), () -> read(log));
                assertTrue(read(log).contains("the event loop has ended"), () -> read(log));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private Process start(FakeUpstream upstream, Path log) throws Exception {
        Path configuration = folder.resolve("config.json");
        String address = "127.0.0.1:" + DeployedProcess.freeAddress().getPort();
        Files.writeString(configuration,
                SidecarHarness.configJson(upstream).put("listen", address).toString());
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp", System.getProperty("java.class.path"), EndingLoopMain.class.getName(), address);
        builder.environment().put("PROXY_CONFIG", configuration.toString());
        return builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    }

    private static String read(Path log) {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            return e.toString();
        }
    }
}
