package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.ListUpdateType;
import pondridge.Balancer.UpstreamState;

/** The list and its watch against a discovery that answers in awkward ways. */
class DiscoveryClientTest {
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String HALF_1 = "{\"rev\":43,\"all\":false,\"targets\":[" + entry("DRAINING") + ",";
    private static final String HALF_2 = "{\"uid\":\"odd\",\"state\":\"???\"}]}\n";

    private record Told(ListUpdateType kind, List<DiscoveryClient.ListEntry> targets) { }

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Told> told = new LinkedBlockingQueue<>();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static String entry(String state) {
        return SidecarHarness.target("s-1", "127.0.0.1:9", state).toString();
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private DiscoveryClient discovery(FakeUpstream stub) {
        DiscoveryClient.UpstreamList known = new DiscoveryClient.UpstreamList(41, true, List.of(), Set.of());
        return new DiscoveryClient(loop, stub.address(), known,
                (kind, targets) -> told.add(new Told(kind, targets)));
    }

    /** Lines come split over chunks and chunks hold several; an odd entry spoils none but itself. */
    @Test
    void watchIsReadLineByLineAndItsEndIsAFailure() throws Exception {
        try (FakeUpstream stub = new FakeUpstream((socket, head) -> {
            FakeUpstream.write(socket, CHUNKED + chunk("\n") + chunk(HALF_1));
            FakeUpstream.write(socket, chunk(HALF_2 + "{\"rev\":44,\"all\":true,\"targets\":[]}\n"));
            return false;
        })) {
            DiscoveryClient discoveryClient = discovery(stub);
            loop.execute(() -> discoveryClient.watch(true));
            assertTrue(FakeUpstream.next(stub.heads)
                    .startsWith("GET /discovery/hosts?watch=1&from=41 HTTP/1.1"));
            assertEquals(new Told(ListUpdateType.DELTA, List.of()), FakeUpstream.next(told),
                    "an empty line: no news");
            Told delta = FakeUpstream.next(told);
            assertEquals(ListUpdateType.DELTA, delta.kind);
            assertEquals(List.of(UpstreamState.DRAINING),
                    delta.targets.stream().map(DiscoveryClient.ListEntry::state).toList());
            assertEquals(new Told(ListUpdateType.FULL, List.of()), FakeUpstream.next(told));
            assertEquals(new Told(ListUpdateType.FAILED, List.of()), FakeUpstream.next(told));
            loop.execute(() -> discoveryClient.watch(true));
            assertTrue(FakeUpstream.next(stub.heads).contains("from=44 "), "goes on from the last version");
        }
    }

    /** Each call that fails is told of once, so that the module's waits between calls hold. */
    @Test
    void everyFailureIsToldOnce() throws Exception {
        for (String reply : List.of("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "", "nonsense\r\n\r\n",
                CHUNKED + chunk("{\"rev\":\n"), CHUNKED + chunk("[]\n"),
                CHUNKED + chunk("{\"rev\":1,\"targets\":{}}\n"))) {
            try (FakeUpstream stub = new FakeUpstream((socket, head) -> {
                FakeUpstream.write(socket, reply);
                return false;
            })) {
                DiscoveryClient discoveryClient = discovery(stub);
                loop.execute(() -> discoveryClient.watch(true));
                assertEquals(ListUpdateType.FAILED, FakeUpstream.next(told).kind, reply);
                loop.execute(discoveryClient::fetch);
                assertEquals(ListUpdateType.FAILED, FakeUpstream.next(told).kind, reply);
                loop.submit(() -> { }).sync();
                assertEquals(0, told.size(), reply);
            }
        }
    }

    /** Of what a whole list names but garbles, the last good entry holds; what it does not name is gone. */
    @Test
    void garbledEntryOfAWholeListKeepsItsLastGoodOne() throws Exception {
        String good = "{\"rev\":42,\"all\":true,\"targets\":[" + entry("SERVING") + ","
                + SidecarHarness.target("s-2", "127.0.0.1:8", "SERVING") + "]}\n";
        String garbled = "{\"rev\":43,\"all\":true,\"targets\":["
                + "{\"uid\":\"s-1\",\"state\":\"SERV\",\"endpoint\":7},{\"uid\":\"s-3\"}]}\n";
        try (FakeUpstream stub = new FakeUpstream((socket, head) -> {
            FakeUpstream.write(socket, CHUNKED + chunk(good) + chunk(garbled) + chunk(garbled));
            return true;
        })) {
            DiscoveryClient discoveryClient = discovery(stub);
            loop.execute(() -> discoveryClient.watch(true));
            assertEquals(2, FakeUpstream.next(told).targets.size());
            for (int i = 0; i < 2; i++) {
                Told list = FakeUpstream.next(told);
                assertEquals(ListUpdateType.FULL, list.kind);
                assertEquals(List.of("s-1"), list.targets.stream().map(DiscoveryClient.ListEntry::uid)
                        .toList());
                assertEquals(UpstreamState.READY, list.targets.get(0).state());
            }
        }
    }

    /** An entry whose very name is garbled may be any of those that a whole list seems to leave out. */
    @Test
    void entryWithoutANameTakesNoOtherUpstreamAway() throws Exception {
        String good = "{\"rev\":42,\"all\":true,\"targets\":[" + entry("SERVING") + ","
                + SidecarHarness.target("s-2", "127.0.0.1:8", "SERVING") + "]}\n";
        String garbled = "{\"rev\":43,\"all\":true,\"targets\":[" + entry("DRAINING") + ",5]}\n";
        String whole = "{\"rev\":44,\"all\":true,\"targets\":[" + entry("SERVING") + "]}\n";
        try (FakeUpstream stub = new FakeUpstream((socket, head) -> {
            FakeUpstream.write(socket, CHUNKED + chunk(good) + chunk(garbled) + chunk(whole));
            return true;
        })) {
            DiscoveryClient discoveryClient = discovery(stub);
            loop.execute(() -> discoveryClient.watch(true));
            assertEquals(2, FakeUpstream.next(told).targets.size());
            assertEquals(List.of("s-1 DRAINING", "s-2 READY"), FakeUpstream.next(told).targets.stream()
                    .map(target -> target.uid() + " " + target.state()).toList());
            assertEquals(List.of("s-1"),
                    FakeUpstream.next(told).targets.stream().map(DiscoveryClient.ListEntry::uid).toList());
        }
    }

    @Test
    void wholeListIsFetchedOnce() throws Exception {
        String body = "{\"rev\":41,\"all\":true,\"targets\":[" + entry("SERVING") + "]}";
        try (FakeUpstream stub = new FakeUpstream((socket, head) ->
                FakeUpstream.reply(socket, "200 OK", "", body))) {
            DiscoveryClient discoveryClient = discovery(stub);
            loop.execute(discoveryClient::fetch);
            assertTrue(FakeUpstream.next(stub.heads).startsWith("GET /discovery/hosts HTTP/1.1"));
            Told list = FakeUpstream.next(told);
            assertEquals(ListUpdateType.FULL, list.kind);
            assertEquals(9, list.targets.get(0).endpoint().getPort());
            FakeUpstream.next(stub.ended);
            assertEquals(0, told.size());
        }
    }
}
