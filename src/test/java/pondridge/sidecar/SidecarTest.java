package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** The whole sidecar between a client and upstreams on loopback. */
class SidecarTest {

    @Test
    void requestAndAnswerGoOnUnchanged() throws Exception {
        try (FakeUpstream upstream = FakeUpstream.serving("{\"parts\":7}");
                SidecarHarness harness = SidecarHarness.with(upstream)) {
            SidecarHarness.Response answer = harness.exchange(SidecarHarness.post("hold",
                    "Idempotency-Key: 5c0f\r\nX-Trace: t1\r\n", "two"));
            assertEquals(200, answer.status());
            assertEquals("{\"parts\":7}", answer.body());
            assertEquals("text/x-part", FakeUpstream.header(answer.head(), "Content-Type"));
            String head = FakeUpstream.next(upstream.heads);
            assertTrue(head.startsWith("POST /api/7f3a HTTP/1.1\r\n"), head);
            assertEquals("9b1f", FakeUpstream.header(head, "Req-Id"));
            assertEquals("5c0f", FakeUpstream.header(head, "Idempotency-Key"));
            assertEquals("t1", FakeUpstream.header(head, "X-Trace"));
            int wait = Integer.parseInt(FakeUpstream.header(head, "Req-Deadline-Ms"));
            assertTrue(wait > 0 && wait < SidecarHarness.DEADLINE_MS, "room for the way back: " + wait);
            assertEquals("two", FakeUpstream.next(upstream.bodies));
            assertEquals(200, harness.exchange(SidecarHarness.safeRequest("a")).status());
            assertTrue(FakeUpstream.next(upstream.heads).startsWith("GET /api/7f3a?full=1 HTTP/1.1\r\n"));
        }
    }

    /** The largest body that the protocol allows, both ways; one byte more is refused below. */
    @Test
    void largestBodiesGoThrough() throws Exception {
        String body = "x".repeat(1 << 16);
        try (FakeUpstream upstream = FakeUpstream.serving(body);
                SidecarHarness harness = SidecarHarness.with(upstream)) {
            assertEquals(body, harness.exchange(SidecarHarness.post("book", "", body)).body());
            assertEquals(body, FakeUpstream.next(upstream.bodies));
        }
    }

    /** A request in no known form must not reach an upstream: there it would void more than itself. */
    @Test
    void malformedRequestsAreToldSoAndGoNowhere() throws Exception {
        try (FakeUpstream upstream = FakeUpstream.serving("x");
                SidecarHarness harness = SidecarHarness.with(upstream)) {
            for (String bad : List.of(
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
                assertEquals(400, harness.exchange(bad).status(), bad);
            }
            assertEquals(404, harness.exchange(SidecarHarness.safeRequest("a").replace("/api/", "/other/"))
                    .status());
            assertEquals(413, harness.exchange(SidecarHarness.post("book", "", "x".repeat((1 << 16) + 1)))
                    .status());
            assertEquals(200, harness.exchange(SidecarHarness.safeRequest("good")).status());
            assertEquals("good", FakeUpstream.header(FakeUpstream.next(upstream.heads), "Req-Id"));
            assertNull(upstream.heads.poll(), "no other request came this far");
        }
    }

    /** A refused connection proves that nothing ran, so that even an unsafe request may go elsewhere. */
    @Test
    void unsafeRequestGoesOnWhenNoConnectionComesUp() throws Exception {
        try (FakeUpstream gone = FakeUpstream.serving("x"); FakeUpstream upstream = FakeUpstream.serving("y");
                SidecarHarness harness = SidecarHarness.with(gone, upstream)) {
            gone.stop();
            for (int i = 0; i < 4; i++) {
                assertEquals("y", harness.exchange(SidecarHarness.post("book", "", "b" + i)).body());
                assertEquals("b" + i, FakeUpstream.next(upstream.bodies), "each once");
            }
            assertNull(upstream.bodies.poll());
        }
    }

    /** Once written whole, an unsafe request may have run: a break then fails it and sends nothing more. */
    @Test
    void unsafeRequestIsNotSentAgainAfterAReset() throws Exception {
        for (String how : List.of("reset", "close", "cut short", "nonsense", "500 Error", "503 No")) {
            FakeUpstream.Script script = (socket, head) -> {
                if (how.startsWith("5")) {
                    return FakeUpstream.reply(socket, how, "", "");
                }
                if (how.equals("cut short")) {
                    FakeUpstream.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
                } else if (how.equals("nonsense")) {
                    FakeUpstream.write(socket, "what is this\r\n\r\n");
                }
                return how.equals("reset") && FakeUpstream.reset(socket);
            };
            try (FakeUpstream one = new FakeUpstream(script); FakeUpstream two = new FakeUpstream(script);
                    SidecarHarness harness = SidecarHarness.with(one, two)) {
                assertEquals(502, harness.exchange(SidecarHarness.post("book", "", "b")).status(), how);
                assertEquals(1, one.heads.size() + two.heads.size(), how);
            }
        }
    }

    /** What can't be read may have run, and its body is no answer, however whole it looks. */
    @Test
    void unreadableAnswerIsNotServed() throws Exception {
        for (String bad : List.of("HTTP/1.1 200 OK\r\nno colon here\r\n", "HTTP/1.1 200 OK\r\nno \t\r\n",
                "HTTP/1.1 200 OK\r\nnone\r\n", "HTTP/1.1 200 OK\r\nno colon: here\r\n",
                "HTTP/1.1 200 OK\r\n: nameless\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n")) {
            FakeUpstream.Script garbles = (socket, head) -> {
                FakeUpstream.write(socket, bad + "Content-Length: 1\r\n\r\nx");
                return true;
            };
            try (FakeUpstream upstream = new FakeUpstream(garbles);
                    SidecarHarness harness = SidecarHarness.with(upstream)) {
                assertEquals(502, harness.exchange(SidecarHarness.post("book", "", "b")).status(), bad);
                FakeUpstream.next(upstream.disconnects);
            }
        }
        FakeUpstream.Script odd = (socket, head) ->
                FakeUpstream.reply(socket, "200 OK", "Empty:\r\nBlank : b\r\n", "x");
        try (FakeUpstream upstream = new FakeUpstream(odd);
                SidecarHarness harness = SidecarHarness.with(upstream)) {
            assertEquals("x", harness.exchange(SidecarHarness.post("book", "", "b")).body(),
                    "odd, but readable");
        }
    }

    /** A repeat is harmless for a safe request and for one whose key the upstreams know. */
    @Test
    void safeAndKeyedRequestsAreSentAgainAfterAReset() throws Exception {
        FakeUpstream.Script script = (socket, head) -> FakeUpstream.reset(socket);
        for (String request : List.of(SidecarHarness.safeRequest("a"),
                SidecarHarness.post("hold", "Idempotency-Key: 1\r\n", "b"))) {
            try (FakeUpstream one = new FakeUpstream(script); FakeUpstream two = new FakeUpstream(script);
                    SidecarHarness harness = SidecarHarness.with(one, two)) {
                assertEquals(503, harness.exchange(request).status(), "all tried, and a retry is harmless");
                assertEquals(1, one.heads.size());
                assertEquals(1, two.heads.size());
            }
        }
    }

    /** Srv-Declined proves that nothing ran; without that header a 503 proves nothing (tested above). */
    @Test
    void declinedUnsafeRequestGoesElsewhere() throws Exception {
        FakeUpstream.Script declines = (socket, head) ->
                FakeUpstream.reply(socket, "503 No", "Srv-Declined: 1\r\n", "");
        try (FakeUpstream one = new FakeUpstream(declines); FakeUpstream two = new FakeUpstream(declines);
                SidecarHarness harness = SidecarHarness.with(one, two)) {
            SidecarHarness.Response answer = harness.exchange(SidecarHarness.post("book", "", "b"));
            assertEquals(503, answer.status());
            assertEquals("0.750", FakeUpstream.header(answer.head(), "Retry-After"),
                    "as long as the module says");
            assertEquals(1, one.heads.size());
            assertEquals(1, two.heads.size());
        }
    }

    /** A client that leaves takes its attempt with it: its connection must close, not be used again. */
    @Test
    void hangUpClosesTheAttemptsConnection() throws Exception {
        try (FakeUpstream silent = new FakeUpstream((socket, head) -> true);
                SidecarHarness harness = SidecarHarness.with(silent)) {
            try (SidecarHarness.Client client = new SidecarHarness.Client(harness.address)) {
                FakeUpstream.write(client.socket, SidecarHarness.safeRequest("a"));
                FakeUpstream.next(silent.heads);
            }
            FakeUpstream.next(silent.disconnects);
        }
    }

    /** Connections are few: peers that send nothing, or no end of a request, must not hold them for good. */
    @Test
    void peersThatSendNoWholeRequestAreClosed() throws Exception {
        try (FakeUpstream upstream = FakeUpstream.serving("x");
                SidecarHarness harness = SidecarHarness.with(upstream)) {
            List<String> starts = List.of("", "GET /api/7f3a HTTP/1.1\r\nHost:",
                    SidecarHarness.post("book", "", "body").replace("body", "b"));
            for (String start : starts) {
                try (SidecarHarness.Client peer = new SidecarHarness.Client(harness.address)) {
                    FakeUpstream.write(peer.socket, start);
                    assertEquals(-1, peer.socket.getInputStream().read(), "a close: " + start);
                }
            }
            try (SidecarHarness.Client client = new SidecarHarness.Client(harness.address)) {
                assertEquals(200, client.exchange(SidecarHarness.safeRequest("a")).status());
                assertEquals(-1, client.socket.getInputStream().read(), "also after an answer");
            }
            assertEquals(1, upstream.heads.size(), "none of them reached an upstream");
        }
    }

    /** Silent upstreams must not cost the client its answer: it comes while the client still waits. */
    @Test
    void silenceIsAnsweredBeforeTheClientsDeadline() throws Exception {
        try (FakeUpstream silent = new FakeUpstream((socket, head) -> true);
                SidecarHarness harness = SidecarHarness.with(silent)) {
            String shorter = SidecarHarness.post("book", "", "b")
                    .replace("Deadline-Ms: 20000", "Deadline-Ms: 1500");
            assertEquals(502, harness.exchange(shorter).status());
            FakeUpstream.next(silent.disconnects);
        }
    }

    @Test
    void requestsAheadOfTheirTurnAreAnsweredInOrder() throws Exception {
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

    /** A stale connection turns requests into resets: it is retired before the upstream's own idle time. */
    @Test
    void idleConnectionIsRetired() throws Exception {
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
    void connectionIsKeptAndUsedAgain() throws Exception {
        CountDownLatch connections = new CountDownLatch(2);
        ThreadLocal<Boolean> first = ThreadLocal.withInitial(() -> true);
        FakeUpstream.Script counting = (socket, head) -> {
            if (first.get()) {
                first.set(false);
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

    /** From watch to sends: a drain that is told ends new work there, and a broken watch is renewed. */
    @Test
    void toldDrainIsKeptAndABrokenWatchRenewed() throws Exception {
        for (String how : List.of("automatic", "subscribe")) {
            drainIsKeptAndWatchRenewed(how);
        }
    }

    /** Unprompted or asked for, on the socket it is one and the same watch. */
    private static void drainIsKeptAndWatchRenewed(String how) throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (FakeUpstream drained = FakeUpstream.serving("x");
                FakeUpstream other = FakeUpstream.serving("y")) {
            String line = "{\"rev\":42,\"all\":false,\"targets\":["
                    + SidecarHarness.listEntry("s-0", drained.endpoint(), "DRAINING") + "]}\n";
            try (FakeUpstream discovery = new FakeUpstream((socket, head) -> {
                FakeUpstream.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                try {
                    go.await();
                } catch (InterruptedException e) {
                    return false;
                }
                if (head.contains("from=41 ")) {
                    FakeUpstream.write(socket, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
                }
                return false;
            })) {
                ObjectNode json = SidecarHarness.configJson(drained, other)
                        .put("discovery", discovery.endpoint());
                json.withObject("/settings").put("discovery", how);
                try (SidecarHarness harness = new SidecarHarness(json)) {
                    while (drained.heads.isEmpty()) {
                        assertEquals(200, harness.exchange(SidecarHarness.safeRequest("a")).status());
                    }
                    go.countDown();
                    FakeUpstream.next(drained.disconnects);
                    int before = drained.heads.size();
                    for (int i = 0; i < 6; i++) {
                        assertEquals("y", harness.exchange(SidecarHarness.safeRequest("b" + i)).body());
                    }
                    assertEquals(before, drained.heads.size());
                    assertTrue(FakeUpstream.next(discovery.heads).contains("from=41 "));
                    assertTrue(FakeUpstream.next(discovery.heads).contains("from=42 "),
                            "where the first one ended");
                }
            }
        }
    }

    /** No list that is read has a cap below 1,024 entries; the last of each is as good as the first. */
    @Test
    void listsOfAThousandAndMoreAreRead() throws Exception {
        int many = 1_024;
        try (FakeUpstream upstream = FakeUpstream.serving("x")) {
            ObjectNode json = SidecarHarness.configJson();
            ArrayNode targets = json.withObject("/known").withArray("/targets");
            ArrayNode zones = json.withObject("/settings").putArray("zones");
            ArrayNode kinds = json.withObject("/settings").putArray("kinds");
            ArrayNode tenants = json.withObject("/settings").putArray("parties");
            ArrayNode peers = json.putArray("peers");
            for (int i = 0; i < many; i++) {
                zones.add("zone-" + i);
                kinds.add("kind-" + i);
                tenants.addObject().put("name", "tenant-" + i).put("portion", 1.0 / many).put("quotaRps", 10);
                peers.add("127.9." + i / 250 + "." + (1 + i % 250) + ":7946");
                targets.add(SidecarHarness.listEntry("s-" + i, upstream.endpoint(), "SERVING")
                        .put("az", "zone-" + i).put("model", "kind-" + i).put("pod_group", i));
            }
            try (SidecarHarness harness = new SidecarHarness(json);
                    SidecarHarness.Client client = new SidecarHarness.Client(harness.address)) {
                for (int i = 0; i < many; i++) {
                    String request = SidecarHarness.safeRequest("r" + i).replace("acme", "tenant-" + i);
                    assertEquals(200, client.exchange(request).status(), request);
                }
            }
            assertEquals(many, upstream.heads.size());
        }
    }

    @Test
    void drainingSidecarAnswersWhatItHoldsAndEndsItsConnections() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        FakeUpstream.Script held = (socket, head) -> {
            try {
                go.await();
            } catch (InterruptedException e) {
                return false;
            }
            return FakeUpstream.reply(socket, "200 OK", "", "late");
        };
        try (FakeUpstream upstream = new FakeUpstream(held);
                SidecarHarness harness = SidecarHarness.with(upstream);
                SidecarHarness.Client busy = new SidecarHarness.Client(harness.address);
                SidecarHarness.Client idle = new SidecarHarness.Client(harness.address)) {
            assertEquals(404, idle.exchange("GET /none HTTP/1.1\r\nHost: a\r\n\r\n").status());
            FakeUpstream.write(busy.socket, SidecarHarness.safeRequest("a"));
            FakeUpstream.next(upstream.heads);
            harness.loop.submit(harness.frontend::drain).sync();
            assertEquals(-1, idle.socket.getInputStream().read(), "an idle connection is ended");
            SidecarHarness.Response meanwhile = harness.exchange("GET /none HTTP/1.1\r\nHost: a\r\n\r\n");
            assertEquals(404, meanwhile.status(), "and its client still gets in");
            assertEquals("close", FakeUpstream.header(meanwhile.head(), "Connection"));
            harness.loop.submit(harness.frontend::closeIdleConnections).sync();
            assertEquals(404, harness.exchange("GET /none HTTP/1.1\r\nHost: a\r\n\r\n").status(),
                    "to the end");
            assertFalse(harness.loop.submit(harness.frontend::hasNoConnections).get());
            go.countDown();
            SidecarHarness.Response answer = busy.readResponse();
            assertEquals("late", answer.body());
            assertEquals("close", FakeUpstream.header(answer.head(), "Connection"));
            assertEquals(-1, busy.socket.getInputStream().read());
        }
    }

    /** A client on a new connection may have written already; closed upon, its request would be lost. */
    @Test
    void firstRequestOnANewConnectionIsAnsweredWhileDraining() throws Exception {
        try (FakeUpstream upstream = FakeUpstream.serving("x");
                SidecarHarness harness = SidecarHarness.with(upstream);
                SidecarHarness.Client fresh = new SidecarHarness.Client(harness.address)) {
            while (harness.loop.submit(harness.frontend::hasNoConnections).get()) {
                Thread.onSpinWait();
            }
            harness.loop.submit(harness.frontend::drain).sync();
            SidecarHarness.Response answer = fresh.exchange(SidecarHarness.safeRequest("a"));
            assertEquals("x", answer.body());
            assertEquals("close", FakeUpstream.header(answer.head(), "Connection"));
        }
    }

    /** What has come whole while the loop was busy is read before anybody's patience ends. */
    @Test
    void requestThatAStallKeptUnreadIsAnswered() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (FakeUpstream upstream = FakeUpstream.serving("x");
                SidecarHarness harness = SidecarHarness.with(upstream);
                SidecarHarness.Client fresh = new SidecarHarness.Client(harness.address)) {
            while (harness.loop.submit(harness.frontend::hasNoConnections).get()) {
                Thread.onSpinWait();
            }
            harness.stallLoop(go);
            FakeUpstream.write(fresh.socket, SidecarHarness.safeRequest("a"));
            Thread.sleep(ClientConnection.FIRST_REQUEST_MS + 100);
            go.countDown();
            assertEquals("x", fresh.readResponse().body());
        }
    }

    /** What had lain unread behind a stall was sent on with all of its time. */
    @Test
    void upstreamsWereToldTheTimeThatAStallHadTaken() throws Exception {
        try (FakeUpstream upstream = FakeUpstream.serving("x");
                SidecarHarness harness = SidecarHarness.with(upstream);
                SidecarHarness.Client client = new SidecarHarness.Client(harness.address)) {
            assertEquals(200, client.exchange(SidecarHarness.safeRequest("a")).status());
            int whole = Integer.parseInt(FakeUpstream.header(FakeUpstream.next(upstream.heads),
                    "Req-Deadline-Ms"));
            CountDownLatch go = new CountDownLatch(1);
            harness.stallLoop(go);
            FakeUpstream.write(client.socket, SidecarHarness.safeRequest("b"));
            Thread.sleep(1_000);
            go.countDown();
            assertEquals(200, client.readResponse().status());
            int left = Integer.parseInt(FakeUpstream.header(FakeUpstream.next(upstream.heads),
                    "Req-Deadline-Ms"));
            assertTrue(left <= whole - 950, left + " of " + whole + " ms told behind a stall of 1,000 ms");
        }
    }
}
