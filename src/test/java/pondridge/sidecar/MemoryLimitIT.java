package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Measures the private memory of the deployed sidecar under several memory limits, beside clients that all at
 * once write long requests slowly, stop half way through one, send heads of very many short fields, or want
 * long responses.
 */
class MemoryLimitIT {
    private static final int LONG_BODY_BYTES = 1 << 16;
    private static final int PIECES = 8;
    private static final int PIECE_INTERVAL_MS = 200;
    private static final int SHORT_FIELDS = 1_300;
    private static final int LONG_RESPONSES_EACH = 6;
    private static final int OTHER_CLIENT_TIMEOUT_MS = 2_000;
    private static final int KINDS_OF_CLIENTS = 4;
    private static final int LEAST_LIMIT_MB = 48;
    private static final int MANY_CONNECTIONS = 340;
    private static final int DEADLINE_MS = 4_000;
    /** How late after its deadline a response counts as missing. */
    private static final int LATE_MS = 550;

    @TempDir
    private Path directory;
    private final List<SidecarHarness.Client> clients = new ArrayList<>();
    /** One for each client, with an id of its own. */
    private final List<String> longRequests = new ArrayList<>();
    private final List<Thread> readers = new ArrayList<>();
    private DeployedProcess sidecar;

    @AfterEach
    void stop() throws IOException {
        for (SidecarHarness.Client client : clients) {
            client.close();
        }
        if (sidecar != null) {
            sidecar.close();
        }
    }

    /** The JVM's sizes were the same under any limit, and a process with a limit of 64 MB passed it. */
    @ParameterizedTest
    @CsvSource({"48, 256, 85", "48, 1024, 340", "64, 256, 85", "64, 1024, 340", "96, 1024, 340",
            "192, 1024, 340"})
    void clientsWithMuchInHandTookTheProcessOverItsMemoryLimit(int limitMb, int sockets, int connections)
            throws Exception {
        InetSocketAddress address = DeployedProcess.freeAddress();
        try (FakeUpstream upstream = new FakeUpstream((socket, head) ->
                FakeUpstream.reply(socket, "200 OK", "",
                        head.contains("Req-Id: long") ? "r".repeat(LONG_BODY_BYTES) : "x"))) {
            ObjectNode json = SidecarHarness.configJson(upstream);
            json.put("listen", "127.0.0.1:" + address.getPort());
            json.withObject("/limits").put("memory_mb", limitMb).put("sockets", sockets);
            sidecar = new DeployedProcess("run", json, directory);
            sidecar.awaitUp(address);
            try (PrivateMemory memory = new PrivateMemory(sidecar.process.pid())) {
                for (int i = 0; i < connections; i++) {
                    clients.add(new SidecarHarness.Client(address));
                    longRequests.add(SidecarHarness.post("book", "", "b".repeat(LONG_BODY_BYTES)));
                }
                beginRequests();
                for (int piece = 0; piece < PIECES; piece++) {
                    writePieces(piece);
                    expectOtherClientServed(address);
                    Thread.sleep(PIECE_INTERVAL_MS);
                }
                for (Thread reader : readers) {
                    reader.join();
                }
                assertTrue(sidecar.process.isAlive(), "the process has ended");
                memory.expectPeakWithin(limitMb);
            }
        }
    }

    /** The heap is full of what the budget does not count: full collections stall the event loop. */
    @Test
    void responsesCameLateUnderALowLimitWithManyConnections() throws Exception {
        InetSocketAddress address = DeployedProcess.freeAddress();
        String body = "r".repeat(LONG_BODY_BYTES);
        try (FakeUpstream first = FakeUpstream.serving(body);
                FakeUpstream second = FakeUpstream.serving(body);
                FakeUpstream third = FakeUpstream.serving(body);
                FakeUpstream fourth = FakeUpstream.serving(body)) {
            ObjectNode json = SidecarHarness.configJson(first, second, third, fourth);
            json.withObject("/settings").withArray("/profiles").forEach(profile -> ((ObjectNode) profile)
                    .put("slo", DEADLINE_MS * 1_000_000L).put("deadline", DEADLINE_MS * 1_000_000L));
            json.put("listen", "127.0.0.1:" + address.getPort());
            json.withObject("/limits").put("memory_mb", LEAST_LIMIT_MB);
            sidecar = new DeployedProcess("run", json, directory);
            sidecar.awaitUp(address);
            AtomicInteger unanswered = new AtomicInteger();
            for (int i = 0; i < MANY_CONNECTIONS; i++) {
                SidecarHarness.Client client = new SidecarHarness.Client(address);
                clients.add(client);
                client.socket.setSoTimeout(DEADLINE_MS + LATE_MS);
                readers.add(FakeUpstream.startThread(() -> countUnanswered(client, unanswered)));
            }
            for (Thread reader : readers) {
                reader.join();
            }
            assertEquals(0, unanswered.get(), "clients with a response missing or late");
        }
    }

    private static void countUnanswered(SidecarHarness.Client client, AtomicInteger unanswered) {
        String request = SidecarHarness.safeRequest("long").replace(
                "Req-Deadline-Ms: " + SidecarHarness.DEADLINE_MS, "Req-Deadline-Ms: " + DEADLINE_MS);
        try {
            for (int i = 0; i < 4 * LONG_RESPONSES_EACH; i++) {
                client.exchange(request);
            }
        } catch (IOException e) {
            unanswered.incrementAndGet();
        }
    }

    private void beginRequests() throws IOException {
        for (int i = 0; i < clients.size(); i++) {
            SidecarHarness.Client client = clients.get(i);
            if (i % KINDS_OF_CLIENTS == 1) {
                FakeUpstream.write(client.socket,
                        SidecarHarness.safeRequest("fields").replace("\r\n\r\n", "\r\n")
                                + "a: b\r\n".repeat(SHORT_FIELDS));
            } else if (i % KINDS_OF_CLIENTS == 2) {
                readers.add(FakeUpstream.startThread(() -> requestLongResponses(client)));
            }
        }
    }

    private static void requestLongResponses(SidecarHarness.Client client) {
        try {
            for (int i = 0; i < LONG_RESPONSES_EACH; i++) {
                client.exchange(SidecarHarness.safeRequest("long"));
            }
        } catch (IOException e) {
            // A response that finds no room may end as a failure; here only the memory counts.
        }
    }

    /** Every other client writes a piece of a long request; half of those stop before the last one. */
    private void writePieces(int piece) throws IOException {
        for (int i = 0; i < clients.size(); i++) {
            boolean writesSlowly = i % KINDS_OF_CLIENTS == 0;
            boolean stopsHalfWay = i % KINDS_OF_CLIENTS == 3 && piece < PIECES / 2;
            if (writesSlowly || stopsHalfWay) {
                String request = longRequests.get(i);
                int length = request.length() / PIECES + 1;
                FakeUpstream.write(clients.get(i).socket,
                        request.substring(piece * length, Math.min(request.length(), (piece + 1) * length)));
            }
        }
    }

    private static void expectOtherClientServed(InetSocketAddress address) throws IOException {
        try (SidecarHarness.Client other = new SidecarHarness.Client(address)) {
            other.socket.setSoTimeout(OTHER_CLIENT_TIMEOUT_MS);
            assertEquals(200, other.exchange(DeployedProcess.UP_REQUEST).status());
        }
    }
}
