package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.ListUpdateType;
import pondridge.Balancer.UpstreamState;

/** Runs the client against a fake discovery service that sends split, invalid and incomplete responses. */
class DiscoveryClientTest {
    private static final int CALLS_TO_LONGEST_DELAY = 6;
    /** For how long after its drain is known to discovery an upstream may still get attempts. */
    private static final long MAX_DRAIN_DELAY_NANOS = 300_000_000;
    /** What discovery has to tell counts as told so long after SIGHUP, or after a watch fell silent. */
    private static final long MAX_RELOAD_NANOS = 4_000_000_000L;
    private static final long MAX_SILENCE_NANOS = 6_000_000_000L;
    private static final long SLOW_RESPONSE_MS = 2_000;
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String DELTA_START =
            "{\"rev\":43,\"all\":false,\"targets\":[" + entry("DRAINING") + ",";
    private static final String DELTA_END = "{\"uid\":\"odd\",\"state\":\"???\"}]}\n";

    /** One list update that the client reported. */
    private record ListUpdate(ListUpdateType type, List<DiscoveryClient.ListEntry> entries) { }

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<ListUpdate> updates = new LinkedBlockingQueue<>();

    @AfterEach
    void stopEventLoop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static String entry(String state) {
        return SidecarHarness.listEntry("s-1", "127.0.0.1:9", state).toString();
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** A client that has an empty cached list; its release after the first response is not recorded. */
    private DiscoveryClient clientOf(FakeUpstream server) {
        return clientOf(server, List.of(), (type, entries) -> {
            if (type != ListUpdateType.CACHED) {
                updates.add(new ListUpdate(type, entries));
            }
        });
    }

    private DiscoveryClient clientOf(FakeUpstream server, List<DiscoveryClient.ListEntry> cachedEntries,
            BiConsumer<ListUpdateType, List<DiscoveryClient.ListEntry>> listener) {
        return new DiscoveryClient(loop, server.address(),
                new DiscoveryClient.UpstreamList(41, true, cachedEntries, Set.of()), listener);
    }

    /**
     * An upstream of the cached list may have drained while the sidecar was away. The list is released only
     * with the first response, and after failed calls it is not.
     */
    @Test
    void theCachedListWasUsedBeforeDiscoveryHadResponded() throws Exception {
        CountDownLatch respond = new CountDownLatch(1);
        AtomicInteger calls = new AtomicInteger();
        try (FakeUpstream server = new FakeUpstream((socket, head) -> {
            if (calls.incrementAndGet() == 1) {
                return false;
            }
            FakeUpstream.write(socket, CHUNKED);
            FakeUpstream.await(respond);
            FakeUpstream.write(socket, chunk("\n") + chunk("\n"));
            return true;
        })) {
            DiscoveryClient.ListEntry cached = DiscoveryClient.UpstreamList.of(Config.JSON.readTree(
                    "{\"rev\":41,\"all\":true,\"targets\":[" + entry("SERVING") + "]}")).entries().get(0);
            DiscoveryClient discoveryClient = clientOf(server, List.of(cached),
                    (type, entries) -> updates.add(new ListUpdate(type, entries)));
            loop.execute(() -> discoveryClient.watch(true));
            assertEquals(new ListUpdate(ListUpdateType.FAILED, List.of()), FakeUpstream.next(updates));
            loop.execute(() -> discoveryClient.watch(true));
            FakeUpstream.next(server.heads);
            FakeUpstream.next(server.heads);
            loop.submit(() -> { }).sync();
            assertEquals(0, updates.size(), "before the first response");
            respond.countDown();
            assertEquals(new ListUpdate(ListUpdateType.CACHED, List.of(cached)), FakeUpstream.next(updates));
            assertEquals(new ListUpdate(ListUpdateType.DELTA, List.of()), FakeUpstream.next(updates));
        }
    }

    /** A line may span chunks, a chunk may hold several lines, and only the invalid entries are skipped. */
    @Test
    void watchIsParsedByLineAndItsEndIsReportedAsFailure() throws Exception {
        try (FakeUpstream server = new FakeUpstream((socket, head) -> {
            FakeUpstream.write(socket, CHUNKED + chunk("\n") + chunk(DELTA_START));
            FakeUpstream.write(socket, chunk(DELTA_END + "{\"rev\":44,\"all\":true,\"targets\":[]}\n"));
            return false;
        })) {
            DiscoveryClient discoveryClient = clientOf(server);
            loop.execute(() -> discoveryClient.watch(true));
            assertTrue(FakeUpstream.next(server.heads)
                    .startsWith("GET /discovery/hosts?watch=1&from=41 HTTP/1.1"));
            assertEquals(new ListUpdate(ListUpdateType.DELTA, List.of()), FakeUpstream.next(updates),
                    "an empty line means no change");
            ListUpdate update = FakeUpstream.next(updates);
            assertEquals(ListUpdateType.DELTA, update.type);
            assertEquals(List.of(UpstreamState.DRAINING),
                    update.entries.stream().map(DiscoveryClient.ListEntry::state).toList());
            assertEquals(new ListUpdate(ListUpdateType.FULL, List.of()), FakeUpstream.next(updates));
            assertEquals(new ListUpdate(ListUpdateType.FAILED, List.of()), FakeUpstream.next(updates));
            loop.execute(() -> discoveryClient.watch(true));
            assertTrue(FakeUpstream.next(server.heads).contains("from=44 "),
                    "resumes from the last revision");
        }
    }

    /** A list that discovery had indented over several lines was never read, nor a drain in it. */
    @Test
    void anIndentedListWasNotRead() throws Exception {
        String indented = Config.JSON.readTree(DELTA_START + DELTA_END).toPrettyString() + "\n";
        try (FakeUpstream server = new FakeUpstream((socket, head) -> {
            if (head.contains("watch=1")) {
                FakeUpstream.write(socket, CHUNKED + chunk("\r\n") + chunk(indented.substring(0, 30))
                        + chunk(indented.substring(30)) + chunk("\n"));
                return true;
            }
            return FakeUpstream.reply(socket, "200 OK", "", indented);
        })) {
            DiscoveryClient discoveryClient = clientOf(server);
            loop.execute(() -> discoveryClient.watch(true));
            assertEquals(new ListUpdate(ListUpdateType.DELTA, List.of()), FakeUpstream.next(updates));
            expectDrain(System.nanoTime(), MAX_RELOAD_NANOS);
            loop.execute(() -> {
                discoveryClient.watch(false);
                discoveryClient.fetch();
            });
            expectDrain(System.nanoTime(), MAX_RELOAD_NANOS);
        }
    }

    /** An object that never ends must not keep all later ones from being read. */
    @Test
    void aTruncatedObjectEndsTheWatchAtTheNextEmptyLine() throws Exception {
        try (FakeUpstream server = new FakeUpstream((socket, head) -> {
            FakeUpstream.write(socket, CHUNKED + chunk("{\"rev\":42,\"targets\":[\n") + chunk("\n"));
            return true;
        })) {
            DiscoveryClient discoveryClient = clientOf(server);
            loop.execute(() -> discoveryClient.watch(true));
            assertEquals(ListUpdateType.FAILED, FakeUpstream.next(updates).type);
            FakeUpstream.next(server.disconnects);
        }
    }

    /** A failure reported twice would shorten the time that the balancer waits between two calls. */
    @Test
    void reportsEachFailedCallOnce() throws Exception {
        for (String response : List.of("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "", "nonsense\r\n\r\n",
                CHUNKED + chunk("{\"rev\":\n"), CHUNKED + chunk("[]\n"),
                CHUNKED + chunk("{\"rev\":1,\"targets\":{}}\n"))) {
            try (FakeUpstream server = new FakeUpstream((socket, head) -> {
                FakeUpstream.write(socket, response);
                return false;
            })) {
                DiscoveryClient discoveryClient = clientOf(server);
                loop.execute(() -> discoveryClient.watch(true));
                assertEquals(ListUpdateType.FAILED, FakeUpstream.next(updates).type, response);
                loop.execute(discoveryClient::fetch);
                assertEquals(ListUpdateType.FAILED, FakeUpstream.next(updates).type, response);
                loop.submit(() -> { }).sync();
                assertEquals(0, updates.size(), response);
            }
        }
    }

    /** An upstream whose entry is invalid keeps its last valid entry; one that is not listed is removed. */
    @Test
    void invalidEntryOfAWholeListKeepsTheLastValidEntry() throws Exception {
        String valid = "{\"rev\":42,\"all\":true,\"targets\":[" + entry("SERVING") + ","
                + SidecarHarness.listEntry("s-2", "127.0.0.1:8", "SERVING") + "]}\n";
        String invalid = "{\"rev\":43,\"all\":true,\"targets\":["
                + "{\"uid\":\"s-1\",\"state\":\"SERV\",\"endpoint\":7},{\"uid\":\"s-3\"}]}\n";
        try (FakeUpstream server = new FakeUpstream((socket, head) -> {
            FakeUpstream.write(socket, CHUNKED + chunk(valid) + chunk(invalid) + chunk(invalid));
            return true;
        })) {
            DiscoveryClient discoveryClient = clientOf(server);
            loop.execute(() -> discoveryClient.watch(true));
            assertEquals(2, FakeUpstream.next(updates).entries.size());
            for (int i = 0; i < 2; i++) {
                ListUpdate update = FakeUpstream.next(updates);
                assertEquals(ListUpdateType.FULL, update.type);
                assertEquals(List.of("s-1"), update.entries.stream().map(DiscoveryClient.ListEntry::uid)
                        .toList());
                assertEquals(UpstreamState.READY, update.entries.get(0).state());
            }
        }
    }

    /** An entry without a readable uid may be that of any upstream that the whole list does not mention. */
    @Test
    void entryWithoutAUidRemovesNoUpstream() throws Exception {
        String valid = "{\"rev\":42,\"all\":true,\"targets\":[" + entry("SERVING") + ","
                + SidecarHarness.listEntry("s-2", "127.0.0.1:8", "SERVING") + "]}\n";
        String invalid = "{\"rev\":43,\"all\":true,\"targets\":[" + entry("DRAINING") + ",5]}\n";
        String complete = "{\"rev\":44,\"all\":true,\"targets\":[" + entry("SERVING") + "]}\n";
        try (FakeUpstream server = new FakeUpstream((socket, head) -> {
            FakeUpstream.write(socket, CHUNKED + chunk(valid) + chunk(invalid) + chunk(complete));
            return true;
        })) {
            DiscoveryClient discoveryClient = clientOf(server);
            loop.execute(() -> discoveryClient.watch(true));
            assertEquals(2, FakeUpstream.next(updates).entries.size());
            assertEquals(List.of("s-1 DRAINING", "s-2 READY"), FakeUpstream.next(updates).entries.stream()
                    .map(entry -> entry.uid() + " " + entry.state()).toList());
            assertEquals(List.of("s-1"),
                    FakeUpstream.next(updates).entries.stream().map(DiscoveryClient.ListEntry::uid).toList());
        }
    }

    /** After a failed call, a new address was used only when the balancer renewed the watch. */
    @Test
    void aNewAddressWasNotUsedAfterAFailedCall() throws Exception {
        try (FakeUpstream failing = new FakeUpstream((socket, head) -> false);
                FakeUpstream server = new FakeUpstream((socket, head) -> true)) {
            DiscoveryClient discoveryClient = clientOf(failing);
            loop.execute(() -> discoveryClient.watch(true));
            assertEquals(ListUpdateType.FAILED, FakeUpstream.next(updates).type);
            loop.execute(() -> discoveryClient.changeAddress(server.address()));
            assertTrue(FakeUpstream.next(server.heads).startsWith("GET /discovery/hosts?watch=1"));
        }
    }

    /** After an outage the list came so late that draining upstreams got attempts for too long. */
    @Test
    void discoveryWasCalledTooRarelyAfterAnOutage() throws Exception {
        BlockingQueue<Long> callTimes = new LinkedBlockingQueue<>();
        try (FakeUpstream failing = new FakeUpstream((socket, head) -> !callTimes.add(System.nanoTime()))) {
            DiscoveryClient discoveryClient = clientOf(failing);
            loop.execute(discoveryClient::keepWatchOpen);
            for (int i = 0; i < CALLS_TO_LONGEST_DELAY; i++) {
                FakeUpstream.next(callTimes);
            }
            long previousAt = FakeUpstream.next(callTimes);
            long shortestNanos = Long.MAX_VALUE;
            for (int i = 0; i < 3; i++) {
                long calledAt = FakeUpstream.next(callTimes);
                shortestNanos = Math.min(shortestNanos, calledAt - previousAt);
                previousAt = calledAt;
            }
            assertTrue(shortestNanos < MAX_DRAIN_DELAY_NANOS,
                    "called after " + shortestNanos / 1_000_000 + " ms at the earliest");
        }
    }

    /**
     * After SIGHUP the first watch at the new address fell silent, and discovery was called again only when a
     * drain there had counted as told for long.
     */
    @Test
    void aSilentWatchAtANewAddressWasReplacedTooLate() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (FakeUpstream oldServer = new FakeUpstream((socket, head) ->
                SidecarHarness.sendHeartbeats(socket));
                FakeUpstream newServer = silentFor(calls, 1)) {
            DiscoveryClient discoveryClient = clientOf(oldServer);
            loop.execute(discoveryClient::keepWatchOpen);
            assertEquals(new ListUpdate(ListUpdateType.DELTA, List.of()), FakeUpstream.next(updates));
            long changedAt = System.nanoTime();
            loop.execute(() -> discoveryClient.changeAddress(newServer.address()));
            expectDrain(changedAt, MAX_RELOAD_NANOS);
        }
    }

    /** The same for the first watch of a sidecar, which becomes ready without a list after 4 s. */
    @Test
    void aSilentFirstWatchWasReplacedTooLate() throws Exception {
        for (boolean automatic : List.of(true, false)) {
            AtomicInteger calls = new AtomicInteger();
            try (FakeUpstream server = silentFor(calls, 1)) {
                DiscoveryClient discoveryClient = clientOf(server);
                long openedAt = System.nanoTime();
                loop.execute(automatic ? discoveryClient::keepWatchOpen : () -> discoveryClient.watch(true));
                expectDrain(openedAt, TimeUnit.MILLISECONDS.toNanos(Readiness.MAX_LIST_WAIT_MS));
            }
        }
    }

    /** An open watch fell silent, and so did the one that replaced it: what they missed came too late. */
    @Test
    void aWatchThatFellSilentWasReplacedTooLate() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (FakeUpstream server = new FakeUpstream((socket, head) -> {
            int call = calls.incrementAndGet();
            if (call <= 2) {
                FakeUpstream.write(socket, call == 1 ? CHUNKED + chunk("\n") : CHUNKED);
                return true;
            }
            FakeUpstream.write(socket, CHUNKED + chunk(DELTA_START + DELTA_END));
            return true;
        })) {
            DiscoveryClient discoveryClient = clientOf(server);
            loop.execute(discoveryClient::keepWatchOpen);
            assertEquals(new ListUpdate(ListUpdateType.DELTA, List.of()), FakeUpstream.next(updates));
            expectDrain(System.nanoTime(), MAX_SILENCE_NANOS);
        }
    }

    /** Discovery that takes 2 s for each response was never heard of if each call was given up before. */
    @Test
    void aSlowResponseIsAwaitedWhileAnotherWatchIsOpened() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (FakeUpstream server = new FakeUpstream((socket, head) -> {
            calls.incrementAndGet();
            Await.sleep(SLOW_RESPONSE_MS);
            FakeUpstream.write(socket, CHUNKED + chunk(DELTA_START + DELTA_END));
            return true;
        })) {
            DiscoveryClient discoveryClient = clientOf(server);
            long openedAt = System.nanoTime();
            loop.execute(discoveryClient::keepWatchOpen);
            expectDrain(openedAt, TimeUnit.MILLISECONDS.toNanos(Readiness.MAX_LIST_WAIT_MS));
            FakeUpstream.next(server.disconnects);
            assertEquals(2, calls.get(), "the second call is closed once the first has responded");
            assertEquals(0, updates.size());
        }
    }

    /** Discovery whose first calls get no response, and the next ones a list with a drain. */
    private static FakeUpstream silentFor(AtomicInteger calls, int silentCalls) {
        return new FakeUpstream((socket, head) -> {
            if (calls.incrementAndGet() > silentCalls) {
                FakeUpstream.write(socket, CHUNKED + chunk(DELTA_START + DELTA_END));
            }
            return true;
        });
    }

    private void expectDrain(long since, long maxNanos) throws Exception {
        ListUpdate update = FakeUpstream.next(updates);
        long elapsed = System.nanoTime() - since;
        assertEquals(List.of(UpstreamState.DRAINING),
                update.entries.stream().map(DiscoveryClient.ListEntry::state).toList());
        assertTrue(elapsed < maxNanos, "came after " + elapsed / 1_000_000 + " ms");
    }

    @Test
    void wholeListIsFetchedOnce() throws Exception {
        String body = "{\"rev\":41,\"all\":true,\"targets\":[" + entry("SERVING") + "]}";
        try (FakeUpstream server = new FakeUpstream((socket, head) ->
                FakeUpstream.reply(socket, "200 OK", "", body))) {
            DiscoveryClient discoveryClient = clientOf(server);
            loop.execute(discoveryClient::fetch);
            assertTrue(FakeUpstream.next(server.heads).startsWith("GET /discovery/hosts HTTP/1.1"));
            ListUpdate update = FakeUpstream.next(updates);
            assertEquals(ListUpdateType.FULL, update.type);
            assertEquals(9, update.entries.get(0).endpoint().getPort());
            FakeUpstream.next(server.disconnects);
            assertEquals(0, updates.size());
        }
    }
}
