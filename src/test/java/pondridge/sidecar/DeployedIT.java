package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
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
    /** Of ten restarted sidecars, nine have to be ready within this time. */
    private static final long MAX_TIME_TO_READY_MS = 10_000;

    @TempDir
    private Path directory;
    private DeployedProcess deployed;

    @AfterEach
    void killProcess() {
        if (deployed != null) {
            deployed.close();
        }
    }

    private void start(String commandKey, ObjectNode config) throws IOException {
        deployed = new DeployedProcess(commandKey, config, directory);
    }

    @Test
    void simStartsAndExitsAtTheEndOfItsInput() throws Exception {
        start("sim", SidecarHarness.configJson());
        deployed.process.getOutputStream().close();
        assertEquals(0, deployed.awaitExit());
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
            InetSocketAddress address = DeployedProcess.freeAddress();
            start("run", SidecarHarness.configJson(upstream).put("listen", "127.0.0.1:" + address.getPort()));
            deployed.awaitUp(address);
            try (SidecarHarness.Client client = new SidecarHarness.Client(address);
                    SidecarHarness.Client otherClient = new SidecarHarness.Client(address)) {
                FakeUpstream.write(client.socket, SidecarHarness.safeRequest("a"));
                FakeUpstream.next(upstream.heads);
                assertEquals(200, otherClient.exchange(DeployedProcess.UP_REQUEST).status());
                deployed.process.destroy();
                // The shutdown has begun once /up has another status on an open connection, or it is closed.
                int status = 200;
                while (status == 200) {
                    try {
                        status = otherClient.exchange(DeployedProcess.UP_REQUEST).status();
                    } catch (IOException e) {
                        status = 0;
                    }
                }
                respond.countDown();
                assertEquals("held", client.readResponse().body());
            }
            assertEquals(0, deployed.awaitExit());
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
            InetSocketAddress address = DeployedProcess.freeAddress();
            ObjectNode json = SidecarHarness.configJson(upstream)
                    .put("listen", "127.0.0.1:" + address.getPort())
                    .put("discovery", oldDiscovery.endpoint());
            start("run", json);
            deployed.awaitUp(address);
            assertTrue(FakeUpstream.next(oldDiscovery.heads).contains("watch=1&from=41 "));
            Path file = deployed.configFile;
            Files.writeString(file, "{");
            deployed.sendSighup();
            String logLine = deployed.process.errorReader().lines()
                    .filter(candidate -> candidate.contains("configuration")).findFirst().orElseThrow();
            assertTrue(logLine.contains("the last one holds"), logLine);
            Files.writeString(file, json.put("discovery", newDiscovery.endpoint()).toString());
            deployed.sendSighup();
            assertTrue(FakeUpstream.next(newDiscovery.heads).contains("watch=1&from=41 "));
            FakeUpstream.next(oldDiscovery.disconnects);
            try (SidecarHarness.Client client = new SidecarHarness.Client(address)) {
                assertEquals("x", client.exchange(SidecarHarness.safeRequest("a")).body());
            }
        }
    }

    /**
     * An outage of discovery may last longer than a sidecar may take to become ready. Requests are refused
     * then, since an upstream of the known list may have drained, until discovery is back.
     */
    @Test
    void runIsReadyInTimeWithoutDiscoveryAndRefusesUntilItIsBack() throws Exception {
        CountDownLatch discoveryUp = new CountDownLatch(1);
        try (FakeUpstream upstream = FakeUpstream.serving("x");
                FakeUpstream discovery = new FakeUpstream((socket, head) ->
                        FakeUpstream.await(discoveryUp) && SidecarHarness.sendHeartbeats(socket))) {
            InetSocketAddress address = DeployedProcess.freeAddress();
            long startedAt = System.nanoTime();
            start("run", SidecarHarness.configJson(upstream).put("listen", "127.0.0.1:" + address.getPort())
                    .put("discovery", discovery.endpoint()));
            deployed.awaitUp(address);
            long elapsedMs = (System.nanoTime() - startedAt) / 1_000_000;
            assertTrue(elapsedMs < MAX_TIME_TO_READY_MS, "ready after " + elapsedMs + " ms");
            try (SidecarHarness.Client client = new SidecarHarness.Client(address)) {
                assertEquals(503, client.exchange(SidecarHarness.safeRequest("a")).status());
                assertEquals(0, upstream.heads.size());
                discoveryUp.countDown();
                Await.until(() -> client.exchange(SidecarHarness.safeRequest("b")).status() == 200,
                        () -> "refused although discovery is back");
            }
        }
    }

    @Test
    void invalidConfigurationExitsWithOneLineNamingTheKey() throws Exception {
        ObjectNode json = SidecarHarness.configJson();
        json.withObject("/settings/rules").remove("rampTime");
        start("run", json);
        String errorOutput = new String(deployed.process.getErrorStream().readAllBytes(),
                StandardCharsets.UTF_8);
        assertEquals(2, deployed.awaitExit());
        assertTrue(errorOutput.contains("rules.rampTime") && errorOutput.lines().count() == 1, errorOutput);
    }
}
