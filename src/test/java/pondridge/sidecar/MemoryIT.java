package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Clients and upstreams that make the deployed sidecar hold much memory at once, within the limits of the
 * protocol. Other clients are served meanwhile, and everyone afterwards.
 */
class MemoryIT {
    /** The length of the longest body that the protocol allows. */
    private static final int LONG_BODY_BYTES = 1 << 16;
    /** In MB, as the configuration states it. */
    private static final int MEMORY_LIMIT_MB = 128;
    private static final int PIECES = 8;
    private static final int PIECE_INTERVAL_MS = 200;
    /** Within which time another client must get its response meanwhile. */
    private static final int OTHER_CLIENT_TIMEOUT_MS = 2_000;
    private static final int QUEUE_DEADLINE_MS = 4_000;
    /** How late after its deadline a response counts as missing. */
    private static final int LATE_MS = 550;
    private static final Set<Integer> FINAL_STATUSES = Set.of(200, 502, 503);

    @TempDir
    private Path directory;
    private final List<SidecarHarness.Client> clients = new ArrayList<>();
    private InetSocketAddress address;
    private DeployedProcess sidecar;

    @BeforeEach
    void chooseAddress() throws IOException {
        address = DeployedProcess.freeAddress();
    }

    @AfterEach
    void stop() throws IOException {
        closeClients();
        if (sidecar != null) {
            sidecar.close();
        }
    }

    private void closeClients() throws IOException {
        for (SidecarHarness.Client client : clients) {
            client.close();
        }
        clients.clear();
    }

    private void start(FakeUpstream... upstreams) throws Exception {
        ObjectNode json = SidecarHarness.configJson(upstreams);
        json.put("listen", "127.0.0.1:" + address.getPort());
        json.withObject("/limits").put("memory_mb", MEMORY_LIMIT_MB);
        sidecar = new DeployedProcess("run", json, directory);
        sidecar.awaitUp(address);
    }

    /** Checks that the process has never used more memory than its configuration allows. */
    private void expectPeakWithinLimit() throws IOException {
        long peakKb = Files.readAllLines(Path.of("/proc", Long.toString(sidecar.process.pid()), "status"))
                .stream().filter(line -> line.startsWith("VmHWM:")).findFirst()
                .map(line -> Long.parseLong(line.replaceAll("\\D", ""))).orElseThrow();
        System.out.println("peak memory of the sidecar: " + peakKb / 1024 + " MB");
        assertTrue(peakKb <= MEMORY_LIMIT_MB * 1024, "peak memory " + peakKb + " KiB");
    }

    private void connect(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            clients.add(new SidecarHarness.Client(address));
        }
    }

    /** Checks that a client on a connection of its own is served at once. */
    private void expectOtherClientServed() throws IOException {
        try (SidecarHarness.Client other = new SidecarHarness.Client(address)) {
            other.socket.setSoTimeout(OTHER_CLIENT_TIMEOUT_MS);
            assertEquals(200, other.exchange(DeployedProcess.UP_REQUEST).status());
            assertEquals(200, other.exchange(SidecarHarness.safeRequest("other")).status());
        }
    }

    /** A piece of 8 KiB kept the buffer of 64 KiB that it was read into; the loop hung on the next read. */
    @Test
    void slowlyWrittenRequestsHungTheSidecar() throws Exception {
        String body = "b".repeat(LONG_BODY_BYTES);
        try (FakeUpstream upstream = FakeUpstream.serving("x")) {
            start(upstream);
            connect(110);
            List<String> requests = clients.stream()
                    .map(client -> SidecarHarness.post("book", "", body)).toList();
            for (int piece = 0; piece < PIECES; piece++) {
                for (int i = 0; i < clients.size(); i++) {
                    writePiece(clients.get(i), requests.get(i), piece);
                }
                Thread.sleep(PIECE_INTERVAL_MS);
                expectOtherClientServed();
            }
            for (SidecarHarness.Client client : clients) {
                assertEquals(200, client.readResponse().status());
            }
            closeClients();
            expectOtherClientServed();
            expectPeakWithinLimit();
        }
    }

    private static void writePiece(SidecarHarness.Client client, String request, int piece)
            throws IOException {
        int length = request.length() / PIECES + 1;
        FakeUpstream.write(client.socket,
                request.substring(piece * length, Math.min(request.length(), (piece + 1) * length)));
    }

    /** The same on the other side: the pieces of long responses kept the buffers that they were read into. */
    @Test
    void slowlyWrittenResponsesHungTheSidecar() throws Exception {
        String piece = "r".repeat(LONG_BODY_BYTES / PIECES);
        FakeUpstream.Script writingSlowly = (socket, head) -> {
            if (head.contains("Req-Id: other")) {
                return FakeUpstream.reply(socket, "200 OK", "", "x");
            }
            FakeUpstream.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + LONG_BODY_BYTES + "\r\n\r\n");
            for (int i = 0; i < PIECES; i++) {
                FakeUpstream.write(socket, piece);
                Await.sleep(PIECE_INTERVAL_MS);
            }
            return true;
        };
        // The sidecar begins with few attempts at each upstream.
        FakeUpstream[] upstreams = new FakeUpstream[120];
        for (int i = 0; i < upstreams.length; i++) {
            upstreams[i] = new FakeUpstream(writingSlowly);
        }
        start(upstreams);
        connect(110);
        for (int i = 0; i < clients.size(); i++) {
            FakeUpstream.write(clients.get(i).socket, SidecarHarness.safeRequest("slow" + i));
        }
        Thread.sleep((PIECES - 2) * PIECE_INTERVAL_MS);
        expectOtherClientServed();
        for (SidecarHarness.Client client : clients) {
            SidecarHarness.Response response = client.readResponse();
            assertEquals(200, response.status());
            assertEquals(LONG_BODY_BYTES, response.body().length());
        }
        closeClients();
        expectOtherClientServed();
        expectPeakWithinLimit();
        for (FakeUpstream upstream : upstreams) {
            upstream.close();
        }
    }

    /** Only the bodies of queued requests were counted: many short ones exhausted the heap. */
    @Test
    void shortQueuedRequestsExhaustedTheHeap() throws Exception {
        int requestsEach = 250;
        FakeUpstream.Script slow = (socket, head) -> {
            if (!head.contains("Req-Id: other")) {
                Await.sleep(900);
            }
            return FakeUpstream.reply(socket, "200 OK", "", "x");
        };
        try (FakeUpstream first = new FakeUpstream(slow); FakeUpstream second = new FakeUpstream(slow)) {
            start(first, second);
            connect(340);
            String request = SidecarHarness.safeRequest("queued").replace(
                    "Req-Deadline-Ms: " + SidecarHarness.DEADLINE_MS,
                    "Req-Deadline-Ms: " + QUEUE_DEADLINE_MS);
            for (SidecarHarness.Client client : clients) {
                FakeUpstream.write(client.socket, request.repeat(requestsEach));
            }
            for (SidecarHarness.Client client : clients) {
                client.socket.setSoTimeout(QUEUE_DEADLINE_MS + LATE_MS);
                for (int i = 0; i < requestsEach; i++) {
                    int status = client.readResponse().status();
                    assertTrue(FINAL_STATUSES.contains(status), "status " + status);
                }
            }
            closeClients();
            expectOtherClientServed();
            expectPeakWithinLimit();
        }
    }

    /** The objects of a header line of four bytes are many times as large as the line. */
    @Test
    void shortHeaderLinesExhaustedTheHeap() throws Exception {
        try (FakeUpstream upstream = FakeUpstream.serving("x")) {
            start(upstream);
            connect(300);
            for (SidecarHarness.Client client : clients) {
                FakeUpstream.write(client.socket, "GET /api/a HTTP/1.1\r\n" + "a: b\r\n".repeat(2_000));
            }
            Thread.sleep(PIECE_INTERVAL_MS);
            expectOtherClientServed();
            closeClients();
            expectOtherClientServed();
            expectPeakWithinLimit();
        }
    }
}
