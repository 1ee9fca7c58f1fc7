package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** The sidecar ({@code run}) or the adapter ({@code sim}), started with the command of the deploy file. */
final class DeployedProcess implements AutoCloseable {
    static final String UP_REQUEST = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

    final Process process;
    final Path configFile;

    /**
     * Starts a process.
     *
     * @param commandKey the deploy file's key of the command
     * @param directory where the configuration is written
     */
    DeployedProcess(String commandKey, ObjectNode config, Path directory) throws IOException {
        configFile = Files.writeString(directory.resolve("config.json"), config.toString());
        ProcessBuilder builder = command(commandKey);
        builder.environment().put("PROXY_CONFIG", configFile.toString());
        process = builder.start();
    }

    /** The deploy file's command as the platform runs it. */
    static ProcessBuilder command(String commandKey) throws IOException {
        String tomlLine = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(candidate -> candidate.startsWith(commandKey + " = \"")).findFirst().orElseThrow();
        String command = tomlLine.substring(tomlLine.indexOf('"') + 1, tomlLine.lastIndexOf('"'));
        return new ProcessBuilder("/bin/sh", "-c", command);
    }

    int awaitExit() throws InterruptedException {
        assertTrue(process.waitFor(FakeUpstream.TIMEOUT_S, TimeUnit.SECONDS), "still running");
        return process.exitValue();
    }

    static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    void awaitUp(InetSocketAddress address) throws Exception {
        while (true) {
            try (SidecarHarness.Client client = new SidecarHarness.Client(address)) {
                if (client.exchange(UP_REQUEST).status() == 200) {
                    return;
                }
            } catch (ConnectException e) {
                assertTrue(process.isAlive(), "exited before it listened");
            }
            Thread.sleep(20);
        }
    }

    void sendSighup() throws Exception {
        assertEquals(0, new ProcessBuilder("/bin/sh", "-c", "kill -HUP " + process.pid()).start().waitFor());
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
