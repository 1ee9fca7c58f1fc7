package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Runs a whole sidecar between clients and fake upstreams on loopback. */
class SidecarTest {
    /** For so long a sidecar may be held up; attempts may begin until 100 ms after their client has left. */
    private static final long STALL_MS = 150;


    @Test
    void requestAndResponseAreForwardedUnchanged() throws Exception {
        try (FakeUpstream upstream = FakeUpstream.serving("{\"parts\":7}");
                SidecarHarness harness = SidecarHarness.with(upstream)) {
            String request = SidecarHarness.post("hold",
                    "Idempotency-Key: 5c0f\r\nX-Trace: t1\r\n", "two");
            SidecarHarness.Response response = harness.exchange(request);
            assertEquals(200, response.status());
            assertEquals("{\"parts\":7}", response.body());
            assertEquals("text/x-part", FakeUpstream.header(response.head(), "Content-Type"));
            String head = FakeUpstream.next(upstream.heads);
            assertTrue(head.startsWith("POST /api/7f3a HTTP/1.1\r\n"), head);
            assertEquals(FakeUpstream.header(request, "Req-Id"), FakeUpstream.header(head, "Req-Id"));
            assertEquals("5c0f", FakeUpstream.header(head, "Idempotency-Key"));
            assertEquals("t1", FakeUpstream.header(head, "X-Trace"));
            int deadlineMs = Integer.parseInt(FakeUpstream.header(head, "Req-Deadline-Ms"));
            assertTrue(deadlineMs > 0 && deadlineMs < SidecarHarness.DEADLINE_MS,
                    "time is reserved for the response: " + deadlineMs);
            assertEquals("two", FakeUpstream.next(upstream.bodies));
            assertEquals(200, harness.exchange(SidecarHarness.safeRequest("a")).status());
            assertTrue(FakeUpstream.next(upstream.heads).startsWith("GET /api/7f3a?full=1 HTTP/1.1\r\n"));
        }
    }

    /** The largest body that the protocol allows, in both directions; the next test sends one byte more. */
    @Test
    void largestBodiesAreForwarded() throws Exception {
        String body = "x".repeat(1 << 16);
        try (FakeUpstream upstream = FakeUpstream.serving(body);
                SidecarHarness harness = SidecarHarness.with(upstream)) {
            assertEquals(body, harness.exchange(SidecarHarness.post("book", "", body)).body());
            assertEquals(body, FakeUpstream.next(upstream.bodies));
        }
    }

    /** A malformed request must not reach an upstream, where it would affect more than itself. */
    @Test
    void malformedRequestsGetAnErrorAndAreNotForwarded() throws Exception {
        try (FakeUpstream upstream = FakeUpstream.serving("x");
                SidecarHarness harness = SidecarHarness.with(upstream)) {
            for (String request : List.of(
                    "NONSENSE\r\n\r\n",
                    SidecarHarness.safeRequest("a").replace("Req-Id: a\r\n", ""),
                    SidecarHarness.safeRequest("a").replace("look", "glance"),
                    SidecarHarness.safeRequest("a").replace("acme", "nobody"),
                    SidecarHarness.safeRequest("a")
                            .replace("Req-Deadline-Ms: 20000", "Req-Deadline-Ms: soon"),
                    SidecarHarness.safeRequest("a").replace("Req-Deadline-Ms: 20000", "Req-Deadline-Ms: -5"),
                    SidecarHarness.safeRequest("a")
                            .replace("Req-Deadline-Ms: 20000", "Req-Deadline-Ms: 99999999999999999999"),
                    SidecarHarness.safeRequest("a").replace("GET", "PUT"),
                    SidecarHarness.post("hold", "", "x"),
                    SidecarHarness.post("book", "Idempotency-Key: 1\r\n", "x"))) {
                assertEquals(400, harness.exchange(request).status(), request);
            }
            assertEquals(404, harness.exchange(SidecarHarness.safeRequest("a").replace("/api/", "/other/"))
                    .status());
            assertEquals(413, harness.exchange(SidecarHarness.post("book", "", "x".repeat((1 << 16) + 1)))
                    .status());
            assertEquals(200, harness.exchange(SidecarHarness.safeRequest("good")).status());
            assertEquals("good", FakeUpstream.header(FakeUpstream.next(upstream.heads), "Req-Id"));
            assertNull(upstream.heads.poll(), "no other request reached the upstream");
        }
    }

    /** A refused connection proves that nothing ran, so that even an unsafe request may be sent elsewhere. */
    @Test
    void unsafeRequestIsSentToAnotherUpstreamAfterAFailedConnect() throws Exception {
        try (FakeUpstream stopped = FakeUpstream.serving("x");
                FakeUpstream upstream = FakeUpstream.serving("y");
                SidecarHarness harness = SidecarHarness.with(stopped, upstream)) {
            stopped.stop();
            for (int i = 0; i < 4; i++) {
                assertEquals("y", harness.exchange(SidecarHarness.post("book", "", "b" + i)).body());
                assertEquals("b" + i, FakeUpstream.next(upstream.bodies), "each sent once");
            }
            assertNull(upstream.bodies.poll());
        }
    }

    /** An unsafe request that was written whole may have run: an error fails it without a new attempt. */
    @Test
    void unsafeRequestIsNotSentAgainOnceItMayHaveRun() throws Exception {
        for (String failure : List.of("reset", "close", "cut short", "nonsense", "500 Error", "503 No")) {
            FakeUpstream.Script script = (socket, head) -> {
                if (failure.startsWith("5")) {
                    return FakeUpstream.reply(socket, failure, "", "");
                }
                if (failure.equals("cut short")) {
                    FakeUpstream.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
                } else if (failure.equals("nonsense")) {
                    FakeUpstream.write(socket, "what is this\r\n\r\n");
                }
                return failure.equals("reset") && FakeUpstream.reset(socket);
            };
            try (FakeUpstream first = new FakeUpstream(script);
                    FakeUpstream second = new FakeUpstream(script);
                    SidecarHarness harness = SidecarHarness.with(first, second)) {
                assertEquals(502, harness.exchange(SidecarHarness.post("book", "", "b")).status(), failure);
                assertEquals(1, first.heads.size() + second.heads.size(), failure);
            }
        }
    }

    /** A response with an unreadable head is an error even if its body is whole; its request may have run. */
    @Test
    void unreadableResponseIsNotForwarded() throws Exception {
        for (String head : List.of("HTTP/1.1 200 OK\r\nno colon here\r\n", "HTTP/1.1 200 OK\r\nno \t\r\n",
                "HTTP/1.1 200 OK\r\nnone\r\n", "HTTP/1.1 200 OK\r\nno colon: here\r\n",
                "HTTP/1.1 200 OK\r\n: nameless\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n")) {
            FakeUpstream.Script garbled = (socket, request) -> {
                FakeUpstream.write(socket, head + "Content-Length: 1\r\n\r\nx");
                return true;
            };
            try (FakeUpstream upstream = new FakeUpstream(garbled);
                    SidecarHarness harness = SidecarHarness.with(upstream)) {
                assertEquals(502, harness.exchange(SidecarHarness.post("book", "", "b")).status(), head);
                FakeUpstream.next(upstream.disconnects);
            }
        }
        FakeUpstream.Script unusual = (socket, request) ->
                FakeUpstream.reply(socket, "200 OK", "Empty:\r\nBlank : b\r\n", "x");
        try (FakeUpstream upstream = new FakeUpstream(unusual);
                SidecarHarness harness = SidecarHarness.with(upstream)) {
            assertEquals("x", harness.exchange(SidecarHarness.post("book", "", "b")).body(),
                    "unusual, but readable");
        }
    }

    /** Another attempt is harmless for a safe request and for one with an idempotency key. */
    @Test
    void safeAndKeyedRequestsAreSentAgainAfterAReset() throws Exception {
        FakeUpstream.Script script = (socket, head) -> FakeUpstream.reset(socket);
        for (String request : List.of(SidecarHarness.safeRequest("a"),
                SidecarHarness.post("hold", "Idempotency-Key: 1\r\n", "b"))) {
            try (FakeUpstream first = new FakeUpstream(script);
                    FakeUpstream second = new FakeUpstream(script);
                    SidecarHarness harness = SidecarHarness.with(first, second)) {
                assertEquals(503, harness.exchange(request).status(), "refused after an attempt at each");
                assertEquals(1, first.heads.size());
                assertEquals(1, second.heads.size());
            }
        }
    }

    /** Srv-Declined proves that nothing ran; a 503 without that header proves nothing (tested above). */
    @Test
    void rejectedUnsafeRequestIsSentToAnotherUpstream() throws Exception {
        FakeUpstream.Script rejecting = (socket, head) ->
                FakeUpstream.reply(socket, "503 No", "Srv-Declined: 1\r\n", "");
        try (FakeUpstream first = new FakeUpstream(rejecting);
                FakeUpstream second = new FakeUpstream(rejecting);
                SidecarHarness harness = SidecarHarness.with(first, second)) {
            SidecarHarness.Response response = harness.exchange(SidecarHarness.post("book", "", "b"));
            assertEquals(503, response.status());
            assertEquals("0.750", FakeUpstream.header(response.head(), "Retry-After"),
                    "the time that the balancer gives");
            assertEquals(1, first.heads.size());
            assertEquals(1, second.heads.size());
        }
    }

    /** When a client disconnects, its attempt's connection must be closed, not used again. */
    @Test
    void clientDisconnectClosesTheAttemptsConnection() throws Exception {
        try (FakeUpstream silent = new FakeUpstream((socket, head) -> true);
                SidecarHarness harness = SidecarHarness.with(silent)) {
            try (SidecarHarness.Client client = new SidecarHarness.Client(harness.address)) {
                FakeUpstream.write(client.socket, SidecarHarness.safeRequest("a"));
                FakeUpstream.next(silent.heads);
            }
            FakeUpstream.next(silent.disconnects);
        }
    }

    /** What a client had sent before it left was sent on, as the close was read only after all of it. */
    @Test
    void requestsOfAClientThatHadLeftWereSentOn() throws Exception {
        try (FakeUpstream upstream = FakeUpstream.serving("x");
                SidecarHarness harness = SidecarHarness.with(upstream)) {
            assertEquals(200, harness.exchange(SidecarHarness.safeRequest("first")).status());
            FakeUpstream.next(upstream.heads);
            for (int requests : List.of(1, 400)) {
                CountDownLatch resume = new CountDownLatch(1);
                try (SidecarHarness.Client client = new SidecarHarness.Client(harness.address)) {
                    assertEquals(404, client.exchange("GET /none HTTP/1.1\r\nHost: a\r\n\r\n").status());
                    harness.stallLoop(resume);
                    FakeUpstream.write(client.socket, SidecarHarness.safeRequest("left").repeat(requests));
                }
                Thread.sleep(STALL_MS);
                resume.countDown();
                Await.until(() -> harness.loop.submit(harness.frontend::hasNoConnections).get(),
                        () -> "still connected");
                assertEquals(200, harness.exchange(SidecarHarness.safeRequest("next")).status());
                assertTrue(FakeUpstream.next(upstream.heads).contains("Req-Id: next"),
                        "sent on after its client had left, of " + requests);
            }
        }
    }

    /** An id ran twice when it came again on a new connection right after its client had left. */
    @Test
    void aRequestThatMayHaveRunRanAgainWhenItsIdCameAgain() throws Exception {
        for (String request : List.of(SidecarHarness.post("book", "", "b"),
                SidecarHarness.post("hold", "Idempotency-Key: 5c0f\r\n", "b"))) {
            try (FakeUpstream upstream = new FakeUpstream((socket, head) -> true);
                    SidecarHarness harness = SidecarHarness.with(upstream)) {
                try (SidecarHarness.Client client = new SidecarHarness.Client(harness.address)) {
                    FakeUpstream.write(client.socket, request);
                    FakeUpstream.next(upstream.heads);
                    assertEquals(502, harness.exchange(request).status(), "while the first one is open");
                }
                FakeUpstream.next(upstream.disconnects);
                assertEquals(502, harness.exchange(request).status(), "after its client has left");
                assertEquals(List.of(), List.copyOf(upstream.heads), "sent again");
            }
        }
    }

    /** An id that cannot have run yet may come again: the sidecar has refused it, and a retry is safe. */
    @Test
    void aRefusedRequestRunsWhenItsIdComesAgain() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (FakeUpstream upstream = new FakeUpstream((socket, head) -> calls.incrementAndGet() == 1
                    ? FakeUpstream.reply(socket, "503 Full", "Srv-Declined: 1\r\n", "")
                    : FakeUpstream.reply(socket, "200 OK", "", "x"));
                SidecarHarness harness = SidecarHarness.with(upstream)) {
            String request = SidecarHarness.post("book", "", "b");
            assertEquals(503, harness.exchange(request).status());
            assertEquals(200, harness.exchange(request).status());
            assertEquals(502, harness.exchange(request).status(), "it has run now");
        }
    }

    /** Connections are limited: clients that send nothing or only part of a request must not keep them. */
    @Test
    void clientsThatSendNoWholeRequestAreDisconnected() throws Exception {
        try (FakeUpstream upstream = FakeUpstream.serving("x");
                SidecarHarness harness = SidecarHarness.with(upstream)) {
            List<String> starts = List.of("", "GET /api/7f3a HTTP/1.1\r\nHost:",
                    SidecarHarness.post("book", "", "body").replace("body", "b"));
            for (String start : starts) {
                try (SidecarHarness.Client client = new SidecarHarness.Client(harness.address)) {
                    FakeUpstream.write(client.socket, start);
                    assertEquals(-1, client.socket.getInputStream().read(), "closed after: " + start);
                }
            }
            try (SidecarHarness.Client client = new SidecarHarness.Client(harness.address)) {
                assertEquals(200, client.exchange(SidecarHarness.safeRequest("a")).status());
                assertEquals(-1, client.socket.getInputStream().read(), "also closed after a response");
            }
            assertEquals(1, upstream.heads.size(), "none of them reached an upstream");
        }
    }

    /** If the upstream does not respond, the client gets a response of the sidecar before its deadline. */
    @Test
    void requestToASilentUpstreamFailsBeforeItsDeadline() throws Exception {
        try (FakeUpstream silent = new FakeUpstream((socket, head) -> true);
                SidecarHarness harness = SidecarHarness.with(silent)) {
            String request = SidecarHarness.post("book", "", "b")
                    .replace("Deadline-Ms: 20000", "Deadline-Ms: 1500");
            assertEquals(502, harness.exchange(request).status());
            FakeUpstream.next(silent.disconnects);
        }
    }

    @Test
    void pipelinedRequestsGetTheirResponsesInOrder() throws Exception {
        FakeUpstream.Script echo = (socket, head) ->
                FakeUpstream.reply(socket, "200 OK", "", FakeUpstream.header(head, "Req-Id"));
        try (FakeUpstream upstream = new FakeUpstream(echo);
                SidecarHarness harness = SidecarHarness.with(upstream);
                SidecarHarness.Client client = new SidecarHarness.Client(harness.address)) {
            FakeUpstream.write(client.socket, SidecarHarness.safeRequest("a")
                    + SidecarHarness.safeRequest("b") + SidecarHarness.safeRequest("c"));
            for (String id : List.of("a", "b", "c")) {
                assertEquals(id, client.readResponse().body());
            }
        }
    }

    /**
     * An upstream closes idle connections, and a request sent on such a connection gets a reset. The sidecar
     * closes its connections before that time.
     */
    @Test
    void idleUpstreamConnectionIsClosed() throws Exception {
        try (FakeUpstream upstream = FakeUpstream.serving("x")) {
            ObjectNode json = SidecarHarness.configJson(upstream);
            json.withObject("/settings/caps").put("connIdle", 500_000_000L);
            try (SidecarHarness harness = new SidecarHarness(json)) {
                assertEquals(200, harness.exchange(SidecarHarness.safeRequest("a")).status());
                FakeUpstream.next(upstream.disconnects);
                assertEquals(200, harness.exchange(SidecarHarness.safeRequest("b")).status());
            }
        }
    }

    @Test
    void upstreamConnectionIsReused() throws Exception {
        CountDownLatch connections = new CountDownLatch(2);
        ThreadLocal<Boolean> firstRequest = ThreadLocal.withInitial(() -> true);
        FakeUpstream.Script counting = (socket, head) -> {
            if (firstRequest.get()) {
                firstRequest.set(false);
                connections.countDown();
            }
            return FakeUpstream.reply(socket, "200 OK", "", "x");
        };
        try (FakeUpstream upstream = new FakeUpstream(counting);
                SidecarHarness harness = SidecarHarness.with(upstream)) {
            for (int i = 0; i < 5; i++) {
                assertEquals(200, harness.exchange(SidecarHarness.safeRequest("a" + i)).status());
                Thread.sleep(UpstreamClient.MIN_IDLE_BEFORE_REUSE_MS);
            }
            assertEquals(1, connections.getCount(), "one connection for all five");
        }
    }

    /** Once the watch reports a draining upstream, it gets no more requests; a watch that ends is renewed. */
    @Test
    void drainingUpstreamGetsNoRequestsAndAnEndedWatchIsRenewed() throws Exception {
        for (String discoveryMode : List.of("automatic", "subscribe")) {
            checkDrainAndWatch(discoveryMode);
        }
    }

    /** Both discovery modes lead to the same watch on the socket. */
    private static void checkDrainAndWatch(String discoveryMode) throws Exception {
        CountDownLatch update = new CountDownLatch(1);
        try (FakeUpstream draining = FakeUpstream.serving("x");
                FakeUpstream other = FakeUpstream.serving("y")) {
            String line = "{\"rev\":42,\"all\":false,\"targets\":["
                    + SidecarHarness.listEntry("s-0", draining.endpoint(), "DRAINING") + "]}\n";
            try (FakeUpstream discovery = new FakeUpstream((socket, head) -> {
                FakeUpstream.write(socket,
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
                try {
                    update.await();
                } catch (InterruptedException e) {
                    return false;
                }
                if (head.contains("from=41 ")) {
                    FakeUpstream.write(socket, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
                }
                return false;
            })) {
                ObjectNode json = SidecarHarness.configJson(draining, other)
                        .put("discovery", discovery.endpoint());
                json.withObject("/settings").put("discovery", discoveryMode);
                try (SidecarHarness harness = new SidecarHarness(json)) {
                    while (draining.heads.isEmpty()) {
                        assertEquals(200, harness.exchange(SidecarHarness.safeRequest("a")).status());
                    }
                    update.countDown();
                    FakeUpstream.next(draining.disconnects);
                    int sentBefore = draining.heads.size();
                    for (int i = 0; i < 6; i++) {
                        assertEquals("y", harness.exchange(SidecarHarness.safeRequest("b" + i)).body());
                    }
                    assertEquals(sentBefore, draining.heads.size());
                    assertTrue(FakeUpstream.next(discovery.heads).contains("from=41 "));
                    assertTrue(FakeUpstream.next(discovery.heads).contains("from=42 "),
                            "the second watch begins at the last revision");
                }
            }
        }
    }

    /**
     * A sidecar that had been restarted while discovery was down sent to an upstream of its known list that
     * had begun to drain meanwhile.
     */
    @Test
    void aRestartedSidecarSentToADrainingUpstreamBeforeItHeardFromDiscovery() throws Exception {
        for (String discoveryMode : List.of("automatic", "subscribe")) {
            checkStartWhileDiscoveryIsDown(discoveryMode);
        }
    }

    private static void checkStartWhileDiscoveryIsDown(String discoveryMode) throws Exception {
        CountDownLatch discoveryUp = new CountDownLatch(1);
        try (FakeUpstream draining = FakeUpstream.serving("x");
                FakeUpstream other = FakeUpstream.serving("y")) {
            String line = "{\"rev\":42,\"all\":false,\"targets\":["
                    + SidecarHarness.listEntry("s-0", draining.endpoint(), "DRAINING") + "]}\n";
            try (FakeUpstream discovery = new FakeUpstream((socket, head) -> {
                FakeUpstream.await(discoveryUp);
                FakeUpstream.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
                return true;
            })) {
                ObjectNode json = SidecarHarness.configJson(draining, other)
                        .put("discovery", discovery.endpoint());
                json.withObject("/settings").put("discovery", discoveryMode);
                try (SidecarHarness harness = new SidecarHarness(json, false)) {
                    for (int i = 0; i < 6; i++) {
                        assertEquals(503, harness.exchange(SidecarHarness.safeRequest("a" + i)).status());
                    }
                    discoveryUp.countDown();
                    harness.awaitList();
                    for (int i = 0; i < 6; i++) {
                        assertEquals("y", harness.exchange(SidecarHarness.safeRequest("b" + i)).body());
                    }
                    assertEquals(0, draining.heads.size());
                }
            }
        }
    }

    /** No list in the configuration has a limit below 1,024 entries: the last entry of each is used, too. */
    @Test
    void listsOf1024EntriesAreRead() throws Exception {
        int count = 1_024;
        try (FakeUpstream upstream = FakeUpstream.serving("x")) {
            ObjectNode json = SidecarHarness.configJson();
            ArrayNode targets = json.withObject("/known").withArray("/targets");
            ArrayNode zones = json.withObject("/settings").putArray("zones");
            ArrayNode models = json.withObject("/settings").putArray("kinds");
            ArrayNode tenants = json.withObject("/settings").putArray("parties");
            ArrayNode peers = json.putArray("peers");
            for (int i = 0; i < count; i++) {
                zones.add("zone-" + i);
                models.add("kind-" + i);
                tenants.addObject().put("name", "tenant-" + i).put("portion", 1.0 / count)
                        .put("quotaRps", 10);
                peers.add("127.9." + i / 250 + "." + (1 + i % 250) + ":7946");
                targets.add(SidecarHarness.listEntry("s-" + i, upstream.endpoint(), "SERVING")
                        .put("az", "zone-" + i).put("model", "kind-" + i).put("pod_group", i));
            }
            try (SidecarHarness harness = new SidecarHarness(json);
                    SidecarHarness.Client client = new SidecarHarness.Client(harness.address)) {
                for (int i = 0; i < count; i++) {
                    String request = SidecarHarness.safeRequest("r" + i).replace("acme", "tenant-" + i);
                    assertEquals(200, client.exchange(request).status(), request);
                }
            }
            assertEquals(count, upstream.heads.size());
        }
    }

    @Test
    void drainingSidecarRespondsToOpenRequestsAndClosesItsConnections() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeUpstream.Script waiting = (socket, head) -> {
            try {
                release.await();
            } catch (InterruptedException e) {
                return false;
            }
            return FakeUpstream.reply(socket, "200 OK", "", "late");
        };
        try (FakeUpstream upstream = new FakeUpstream(waiting);
                SidecarHarness harness = SidecarHarness.with(upstream);
                SidecarHarness.Client busy = new SidecarHarness.Client(harness.address);
                SidecarHarness.Client idle = new SidecarHarness.Client(harness.address)) {
            assertEquals(404, idle.exchange("GET /none HTTP/1.1\r\nHost: a\r\n\r\n").status());
            FakeUpstream.write(busy.socket, SidecarHarness.safeRequest("a"));
            FakeUpstream.next(upstream.heads);
            harness.loop.submit(harness.frontend::drain).sync();
            assertEquals(-1, idle.socket.getInputStream().read(), "an idle connection is closed");
            SidecarHarness.Response whileDraining = harness.exchange("GET /none HTTP/1.1\r\nHost: a\r\n\r\n");
            assertEquals(404, whileDraining.status(), "its client can still connect");
            assertEquals("close", FakeUpstream.header(whileDraining.head(), "Connection"));
            harness.loop.submit(harness.frontend::closeIdleConnections).sync();
            assertEquals(404, harness.exchange("GET /none HTTP/1.1\r\nHost: a\r\n\r\n").status(),
                    "and can until the process exits");
            assertFalse(harness.loop.submit(harness.frontend::hasNoConnections).get());
            release.countDown();
            SidecarHarness.Response response = busy.readResponse();
            assertEquals("late", response.body());
            assertEquals("close", FakeUpstream.header(response.head(), "Connection"));
            assertEquals(-1, busy.socket.getInputStream().read());
        }
    }

    /** A client on a new connection may already have written its request, which a close would lose. */
    @Test
    void firstRequestOnANewConnectionIsServedWhileDraining() throws Exception {
        try (FakeUpstream upstream = FakeUpstream.serving("x");
                SidecarHarness harness = SidecarHarness.with(upstream);
                SidecarHarness.Client client = new SidecarHarness.Client(harness.address)) {
            while (harness.loop.submit(harness.frontend::hasNoConnections).get()) {
                Thread.onSpinWait();
            }
            harness.loop.submit(harness.frontend::drain).sync();
            SidecarHarness.Response response = client.exchange(SidecarHarness.safeRequest("a"));
            assertEquals("x", response.body());
            assertEquals("close", FakeUpstream.header(response.head(), "Connection"));
        }
    }

    /** A whole request that arrived during a stall must be read before the read timeout is applied. */
    @Test
    void requestReceivedDuringAStallIsServed() throws Exception {
        CountDownLatch resume = new CountDownLatch(1);
        try (FakeUpstream upstream = FakeUpstream.serving("x");
                SidecarHarness harness = SidecarHarness.with(upstream);
                SidecarHarness.Client client = new SidecarHarness.Client(harness.address)) {
            while (harness.loop.submit(harness.frontend::hasNoConnections).get()) {
                Thread.onSpinWait();
            }
            harness.stallLoop(resume);
            FakeUpstream.write(client.socket, SidecarHarness.safeRequest("a"));
            Thread.sleep(ClientConnection.REQUEST_READ_TIMEOUT_MS + 100);
            resume.countDown();
            assertEquals("x", client.readResponse().body());
        }
    }

    /** A request that had lain unread during a stall was forwarded with the whole of its deadline. */
    @Test
    void stallIsDeductedFromTheForwardedDeadline() throws Exception {
        try (FakeUpstream upstream = FakeUpstream.serving("x");
                SidecarHarness harness = SidecarHarness.with(upstream);
                SidecarHarness.Client client = new SidecarHarness.Client(harness.address)) {
            assertEquals(200, client.exchange(SidecarHarness.safeRequest("a")).status());
            int fullMs = Integer.parseInt(FakeUpstream.header(FakeUpstream.next(upstream.heads),
                    "Req-Deadline-Ms"));
            CountDownLatch resume = new CountDownLatch(1);
            harness.stallLoop(resume);
            FakeUpstream.write(client.socket, SidecarHarness.safeRequest("b"));
            Thread.sleep(1_000);
            resume.countDown();
            assertEquals(200, client.readResponse().status());
            int remainingMs = Integer.parseInt(FakeUpstream.header(FakeUpstream.next(upstream.heads),
                    "Req-Deadline-Ms"));
            assertTrue(remainingMs <= fullMs - 950,
                    remainingMs + " of " + fullMs + " ms forwarded after a stall of 1,000 ms");
        }
    }
}
