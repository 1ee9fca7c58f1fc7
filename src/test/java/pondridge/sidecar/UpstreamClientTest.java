package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.Outcome;
import pondridge.SettingsReader;

/** Attempts and probes on real connections, and what they end as. */
class UpstreamClientTest {
    private static final long LONG = 60_000_000_000L;
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private final BlockingQueue<float[]> reports = new LinkedBlockingQueue<>();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private UpstreamClient upstreams(InetSocketAddress address, long connectTimeout,
            int most) throws Exception {
        SettingsReader settingsReader = new SettingsReader("caps.connectTimeout=" + connectTimeout
                + "\ncaps.connIdle=60000000000\nreport.fields=rate,q");
        return loop.submit(() -> {
            UpstreamClient made = new UpstreamClient(loop, settingsReader, most);
            made.updateUpstream(1, address, 0, true);
            return made;
        }).get();
    }

    private static UpstreamClient.Message get(String uri) {
        return left -> new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
    }

    private void send(UpstreamClient upstreamClient) {
        loop.execute(() -> upstreamClient.send(1, get("/api/x"), LONG, this::ended));
    }

    private void ended(Outcome outcome, RequestDispatcher.UpstreamResponse answer, float[] load) {
        reports.add(load);
        outcomes.add(outcome);
    }

    /** A listener whose queue is full: its machine is there, but no connection comes up. */
    private static List<Socket> fill(ServerSocket server) throws IOException {
        List<Socket> fillers = new ArrayList<>();
        while (true) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(server.getLocalSocketAddress(), 300);
            } catch (SocketTimeoutException e) {
                return fillers;
            }
        }
    }

    /** With more upstreams than connections, every one of them can still be reached. */
    @Test
    void idleConnectionsGiveWayToNeededOnes() throws Exception {
        try (FakeUpstream first = FakeUpstream.serving("1"); FakeUpstream second = FakeUpstream.serving("2");
                FakeUpstream third = FakeUpstream.serving("3")) {
            UpstreamClient upstreamClient = upstreams(first.address(), LONG, 2);
            loop.execute(() -> {
                upstreamClient.updateUpstream(2, second.address(), 0, true);
                upstreamClient.updateUpstream(3, third.address(), 0, true);
            });
            for (long id : new long[] {1, 2, 3, 2, 1}) {
                loop.execute(() -> upstreamClient.send(id, get("/api/x"), LONG, this::ended));
                assertEquals(Outcome.OK, FakeUpstream.next(outcomes), "upstream " + id);
                Thread.sleep(UpstreamClient.MIN_IDLE_BEFORE_REUSE_MS);
            }
            FakeUpstream.next(first.ended);
            FakeUpstream.next(third.ended);
            assertEquals(0, second.ended.size(), "only those idle for longest have given way");
        }
    }

    /** Once a drain is told, a request that waits for its connection must not go there any more. */
    @Test
    void drainEndsTheWaitForAConnection() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> fillers = fill(full);
            InetSocketAddress address = (InetSocketAddress) full.getLocalSocketAddress();
            UpstreamClient upstreamClient = upstreams(address, LONG, 10);
            send(upstreamClient);
            loop.execute(() -> upstreamClient.updateUpstream(1, address, 0, false));
            assertEquals(Outcome.CONNECT_FAILED, FakeUpstream.next(outcomes));
            send(upstreamClient);
            assertEquals(Outcome.CONNECT_FAILED, FakeUpstream.next(outcomes), "nor does a later one");
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    /** A machine that is cut off says nothing: the connect time-out, not the request's, ends the wait. */
    @Test
    void silentConnectFailsAtItsOwnTimeout() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> fillers = fill(full);
            send(upstreams((InetSocketAddress) full.getLocalSocketAddress(), 100_000_000, 10));
            assertEquals(Outcome.CONNECT_FAILED, FakeUpstream.next(outcomes));
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    /** A machine that vanished and came back under its address has not ended the connections to it. */
    @Test
    void connectionsToTheProcessBeforeARestartAreClosed() throws Exception {
        try (FakeUpstream upstream = FakeUpstream.serving("x")) {
            UpstreamClient upstreamClient = upstreams(upstream.address(), LONG, 10);
            send(upstreamClient);
            assertEquals(Outcome.OK, FakeUpstream.next(outcomes));
            loop.execute(() ->
                    upstreamClient.updateUpstream(1, upstream.address(), 1_700_000_000_000L, true));
            FakeUpstream.next(upstream.ended);
            send(upstreamClient);
            assertEquals(Outcome.OK, FakeUpstream.next(outcomes), "on a new one");
        }
    }

    /** Descriptors are few: over the limit an attempt is not sent, instead of the process running out. */
    @Test
    void connectionsAreBounded() throws Exception {
        try (FakeUpstream silent = new FakeUpstream((socket, head) -> true)) {
            UpstreamClient upstreamClient = upstreams(silent.address(), LONG, 2);
            send(upstreamClient);
            send(upstreamClient);
            FakeUpstream.next(silent.heads);
            FakeUpstream.next(silent.heads);
            send(upstreamClient);
            assertEquals(Outcome.NEVER_SENT, FakeUpstream.next(outcomes));
        }
    }

    /** An attempt given up while its request was half written ended twice. */
    @Test
    void anAttemptGivenUpWhileWritingEndedTwice() throws Exception {
        try (ServerSocket unread = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            UpstreamClient upstreamClient = upstreams((InetSocketAddress) unread.getLocalSocketAddress(),
                    LONG, 10);
            byte[] body = new byte[32 << 20];
            UpstreamClient.Message large = left -> new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                    HttpMethod.POST, "/api/x", Unpooled.wrappedBuffer(body));
            UpstreamClient.Attempt attempt =
                    loop.submit(() -> upstreamClient.send(1, large, LONG, this::ended)).get();
            try (Socket accepted = unread.accept()) {
                assertTrue(accepted.getInputStream().read() >= 0, "the request has begun to arrive");
                loop.submit(attempt::cancel).sync();
                assertEquals(Outcome.CANCELLED, FakeUpstream.next(outcomes));
                loop.submit(() -> { }).sync();
                assertNull(outcomes.poll(), "one outcome, and no more");
            }
        }
    }

    /** Reports come in the settings' order, from answers and probes; bad ones are none, never a crash. */
    @Test
    void loadReportsAreRead() throws Exception {
        List<String> texts = List.of("{\"q\":2,\"rate\":1.5,\"more\":0}",
                "{\"q\":2}", "{", "[]", "{\"q\":\"x\"}");
        try (FakeUpstream upstream = new FakeUpstream((socket, head) -> head.startsWith("GET /metrics/load")
                ? FakeUpstream.reply(socket, "200 OK", "", "{\"rate\":7,\"q\":0}")
                : FakeUpstream.reply(socket, "200 OK", "Srv-Load: " + FakeUpstream.header(head, "Say")
                + "\r\n", "x"))) {
            UpstreamClient upstreamClient = upstreams(upstream.address(), LONG, 10);
            for (String text : texts) {
                FullHttpRequest request =
                        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
                request.headers().set("Say", text);
                loop.execute(() -> upstreamClient.send(1, left -> request, LONG, this::ended));
                assertEquals(Outcome.OK, FakeUpstream.next(outcomes));
                assertArrayEquals(text.contains("rate") ? new float[] {1.5f, 2} : new float[0],
                        FakeUpstream.next(reports));
            }
            loop.execute(() -> upstreamClient.probe(1, this::ended));
            assertArrayEquals(new float[] {7, 0}, FakeUpstream.next(reports));
        }
    }

    /** Who answers one request twice must not have the second answer taken for the next request's. */
    @Test
    void surplusAnswerIsNobodys() throws Exception {
        BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
        try (FakeUpstream upstream = new FakeUpstream((socket, head) -> {
            String surplus = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nsurplus";
            FakeUpstream.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
                    + (head.startsWith("GET /first") ? surplus : ""));
            return true;
        })) {
            UpstreamClient upstreamClient = upstreams(upstream.address(), LONG, 10);
            UpstreamClient.Listener last = (outcome, answer, load) ->
                    bodies.add(new String(answer.body(), StandardCharsets.ISO_8859_1));
            loop.execute(() -> upstreamClient.send(1, get("/first"), LONG, (outcome, answer, load) ->
                    upstreamClient.send(1, get("/next"), LONG, last)));
            assertEquals("own", FakeUpstream.next(bodies));
        }
    }

    /** An answer beyond what a body may hold must not fill the memory. */
    @Test
    void overlongAnswerIsAnError() throws Exception {
        try (FakeUpstream upstream = FakeUpstream.serving("x".repeat(200_000))) {
            send(upstreams(upstream.address(), LONG, 10));
            assertEquals(false, FakeUpstream.next(outcomes).provesNeverRan());
        }
    }
}
