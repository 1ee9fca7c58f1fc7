package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Starts the sidecar ({@code run}) and the adapter ({@code sim}) from the packaged jar, with the commands of
 * the deploy file.
 */
class DeployedIT {
    private static final String UP_REQUEST = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

    @TempDir
    private Path directory;
    private Process process;

    @AfterEach
    void killProcess() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    private void start(String commandKey, ObjectNode config) throws IOException {
        String tomlLine = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(candidate -> candidate.startsWith(commandKey + " = \"")).findFirst().orElseThrow();
        String command = tomlLine.substring(tomlLine.indexOf('"') + 1, tomlLine.lastIndexOf('"'));
        Path file = Files.writeString(directory.resolve("config.json"), config.toString());
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command);
        builder.environment().put("PROXY_CONFIG", file.toString());
        process = builder.start();
    }

    private int awaitExit() throws InterruptedException {
        assertTrue(process.waitFor(FakeUpstream.TIMEOUT_S, TimeUnit.SECONDS), "still running");
        return process.exitValue();
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    private void awaitUp(InetSocketAddress address) throws Exception {
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

    @Test
    void simStartsAndExitsAtTheEndOfItsInput() throws Exception {
        start("sim", SidecarHarness.configJson());
        process.getOutputStream().close();
        assertEquals(0, awaitExit());
    }

    /** At SIGTERM, open requests still get their responses, and then the process exits with status 0. */
    @Test
    void runFinishesOpenRequestsAndExitsAtSigterm() throws Exception {
        CountDownLatch respond = new CountDownLatch(1);
        try (FakeUpstream upstream = new FakeUpstream((socket, head) -> {
            try {
                return respond.await(FakeUpstream.TIMEOUT_S, TimeUnit.SECONDS)
                        && FakeUpstream.reply(socket, "200 OK", "", "held");
            } catch (InterruptedException e) {
                return false;
            }
        })) {
            InetSocketAddress address = freeAddress();
            start("run", SidecarHarness.configJson(upstream).put("listen", "127.0.0.1:" + address.getPort()));
            awaitUp(address);
            try (SidecarHarness.Client client = new SidecarHarness.Client(address);
                    SidecarHarness.Client otherClient = new SidecarHarness.Client(address)) {
                FakeUpstream.write(client.socket, SidecarHarness.safeRequest("a"));
                FakeUpstream.next(upstream.heads);
                assertEquals(200, otherClient.exchange(UP_REQUEST).status());
                process.destroy();
                // The shutdown has begun once /up has another status on an open connection, or it is closed.
                int status = 200;
                while (status == 200) {
                    try {
                        status = otherClient.exchange(UP_REQUEST).status();
                    } catch (IOException e) {
                        status = 0;
                    }
                }
                respond.countDown();
                assertEquals("held", client.readResponse().body());
            }
            assertEquals(0, awaitExit());
        }
    }

    /** At SIGHUP the sidecar takes over the address of discovery; an invalid file changes nothing. */
    @Test
    void runTakesTheDiscoveryAddressAtSighupUnlessTheFileIsInvalid() throws Exception {
        FakeUpstream.Script openWatch = (socket, head) -> {
            FakeUpstream.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
            return true;
        };
        try (FakeUpstream upstream = FakeUpstream.serving("x");
                FakeUpstream oldDiscovery = new FakeUpstream(openWatch);
                FakeUpstream newDiscovery = new FakeUpstream(openWatch)) {
            InetSocketAddress address = freeAddress();
            ObjectNode json = SidecarHarness.configJson(upstream)
                    .put("listen", "127.0.0.1:" + address.getPort())
                    .put("discovery", oldDiscovery.endpoint());
            start("run", json);
            awaitUp(address);
            assertTrue(FakeUpstream.next(oldDiscovery.heads).contains("watch=1&from=41 "));
            Path file = directory.resolve("config.json");
            Files.writeString(file, "{");
            sendSighup();
            String logLine = process.errorReader().lines()
                    .filter(candidate -> candidate.contains("configuration")).findFirst().orElseThrow();
            assertTrue(logLine.contains("the last one holds"), logLine);
            Files.writeString(file, json.put("discovery", newDiscovery.endpoint()).toString());
            sendSighup();
            assertTrue(FakeUpstream.next(newDiscovery.heads).contains("watch=1&from=41 "));
            FakeUpstream.next(oldDiscovery.disconnects);
            try (SidecarHarness.Client client = new SidecarHarness.Client(address)) {
                assertEquals("x", client.exchange(SidecarHarness.safeRequest("a")).body());
            }
        }
    }

    private void sendSighup() throws Exception {
        assertEquals(0, new ProcessBuilder("/bin/sh", "-c", "kill -HUP " + process.pid()).start().waitFor());
    }

    @Test
    void invalidConfigurationExitsWithOneLineNamingTheKey() throws Exception {
        ObjectNode json = SidecarHarness.configJson();
        json.withObject("/settings/rules").remove("rampTime");
        start("run", json);
        String errorOutput = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(2, awaitExit());
        assertTrue(errorOutput.contains("rules.rampTime") && errorOutput.lines().count() == 1, errorOutput);
    }
}
