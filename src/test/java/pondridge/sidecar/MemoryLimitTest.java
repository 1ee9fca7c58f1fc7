package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A sidecar with a small memory budget, with clients and upstreams that want to use more. */
class MemoryLimitTest {
    /** Leaves a budget of 4 MB, of which requests may use 3 MB. */
    private static final int MEMORY_MB = 46;
    private static final int BODY_BYTES = 1 << 16;
    private static final int CLIENT_COUNT = 90;
    /** What connections and small messages may hold although there is no room. */
    private static final long SMALL_HOLDERS_BYTES = CLIENT_COUNT * (32L << 10);

    private final List<SidecarHarness.Client> clients = new ArrayList<>();

    @AfterEach
    void closeClients() throws IOException {
        for (SidecarHarness.Client client : clients) {
            client.close();
        }
        clients.clear();
    }

    private static SidecarHarness harness(FakeUpstream upstream) throws Exception {
        ObjectNode json = SidecarHarness.configJson(upstream);
        json.withObject("/limits").put("memory_mb", MEMORY_MB);
        return new SidecarHarness(json);
    }

    private void connect(SidecarHarness harness) throws IOException {
        for (int i = 0; i < CLIENT_COUNT; i++) {
            clients.add(new SidecarHarness.Client(harness.address));
        }
    }

    private static void expectWithinBudget(SidecarHarness harness) throws Exception {
        MemoryBudget budget = harness.dispatcher.memoryBudget();
        long used = harness.loop.submit(budget::used).get();
        assertTrue(used <= budget.limit() + SMALL_HOLDERS_BYTES, () -> "held: " + budget);
    }

    /** Closes all connections of clients and upstreams; nothing may be held then. */
    private void expectNothingHeldInTheEnd(SidecarHarness harness, FakeUpstream upstream) throws Exception {
        closeClients();
        upstream.stop();
        MemoryBudget budget = harness.dispatcher.memoryBudget();
        Await.until(() -> harness.loop.submit(budget::used).get() == 0, () -> "held: " + budget);
    }

    /** Bodies received in part filled the memory, and no other client was served. */
    @Test
    void partialBodiesLeftNoMemoryForOtherClients() throws Exception {
        String body = "b".repeat(BODY_BYTES);
        try (FakeUpstream upstream = FakeUpstream.serving("x"); SidecarHarness harness = harness(upstream)) {
            connect(harness);
            for (SidecarHarness.Client client : clients) {
                String request = SidecarHarness.post("book", "", body);
                FakeUpstream.write(client.socket, request.substring(0, request.length() - 1));
            }
            assertEquals(200, harness.exchange(SidecarHarness.safeRequest("a")).status());
            expectWithinBudget(harness);
            Set<Integer> statuses = new HashSet<>();
            for (SidecarHarness.Client client : clients) {
                FakeUpstream.write(client.socket, "b");
                statuses.add(client.readResponse().status());
            }
            assertEquals(Set.of(200, 503), statuses, "some fit, the others are refused");
            assertEquals(200, clients.get(0).exchange(SidecarHarness.post("book", "", body)).status(),
                    "there is room again");
            expectNothingHeldInTheEnd(harness, upstream);
        }
    }

    /** Requests that wait behind others were kept whatever they took; now those without room are refused. */
    @Test
    void queuedRequestsBeyondTheBudgetAreRefusedInTheirTurn() throws Exception {
        int requestsEach = 100;
        CountDownLatch respond = new CountDownLatch(1);
        FakeUpstream.Script held = (socket, head) -> {
            try {
                respond.await();
            } catch (InterruptedException e) {
                return false;
            }
            return FakeUpstream.reply(socket, "200 OK", "", "x");
        };
        try (FakeUpstream upstream = new FakeUpstream(held); SidecarHarness harness = harness(upstream)) {
            connect(harness);
            for (SidecarHarness.Client client : clients) {
                FakeUpstream.write(client.socket, SidecarHarness.safeRequest("a").repeat(requestsEach));
            }
            FakeUpstream.next(upstream.heads);
            expectWithinBudget(harness);
            assertEquals(404, harness.exchange("GET /none HTTP/1.1\r\nHost: a\r\n\r\n").status());
            respond.countDown();
            List<Integer> statuses = new ArrayList<>();
            for (SidecarHarness.Client client : clients) {
                for (int i = 0; i < requestsEach; i++) {
                    statuses.add(client.readResponse().status());
                }
            }
            assertEquals(Set.of(200, 503), Set.copyOf(statuses));
            expectNothingHeldInTheEnd(harness, upstream);
        }
    }

    /** A client that stays in the middle of its headers held them without a count. */
    @Test
    void headersBeyondTheBudgetAreRefused() throws Exception {
        try (FakeUpstream upstream = FakeUpstream.serving("x"); SidecarHarness harness = harness(upstream)) {
            connect(harness);
            String begin = "GET /api/a HTTP/1.1\r\n" + "a: b\r\n".repeat(1_900);
            for (SidecarHarness.Client client : clients) {
                FakeUpstream.write(client.socket, begin);
            }
            assertEquals(200, harness.exchange(SidecarHarness.safeRequest("a")).status());
            expectWithinBudget(harness);
            List<Integer> statuses = new ArrayList<>();
            for (SidecarHarness.Client client : clients) {
                FakeUpstream.write(client.socket, "\r\n");
                statuses.add(client.readResponse().status());
            }
            assertTrue(statuses.contains(503), "refused: " + statuses);
            assertFalse(statuses.contains(200), "no id: " + statuses);
            expectNothingHeldInTheEnd(harness, upstream);
        }
    }
}
