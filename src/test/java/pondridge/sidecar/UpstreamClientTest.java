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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.Outcome;
import pondridge.SettingsReader;

/** Sends attempts and load probes over real connections and checks their outcomes. */
class UpstreamClientTest {
    private static final long MEMORY_BYTES = 1 << 24;
    private static final long LONG_TIMEOUT_NANOS = 60_000_000_000L;
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private final BlockingQueue<float[]> loadReports = new LinkedBlockingQueue<>();

    @AfterEach
    void stopEventLoop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private UpstreamClient newClient(InetSocketAddress address, long connectTimeoutNanos,
            int maxConnections) throws Exception {
        return newClient(address, connectTimeoutNanos, maxConnections, new MemoryBudget(MEMORY_BYTES, loop));
    }

    private UpstreamClient newClient(InetSocketAddress address, long connectTimeoutNanos, int maxConnections,
            MemoryBudget budget) throws Exception {
        SettingsReader settingsReader = new SettingsReader("caps.connectTimeout=" + connectTimeoutNanos
                + "\ncaps.connIdle=60000000000\nreport.fields=rate,q");
        return loop.submit(() -> {
            UpstreamClient client = new UpstreamClient(loop, settingsReader, maxConnections, budget);
            client.updateUpstream(1, address, 0, true);
            return client;
        }).get();
    }

    private static UpstreamClient.RequestFactory get(String uri) {
        return timeLeft -> new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
    }

    private void send(UpstreamClient upstreamClient) {
        loop.execute(() -> upstreamClient.send(1, get("/api/x"), LONG_TIMEOUT_NANOS, this::onEnded));
    }

    private void onEnded(Outcome outcome, RequestDispatcher.UpstreamResponse response, float[] loadReport) {
        loadReports.add(loadReport);
        outcomes.add(outcome);
    }

    /** Fills the accept queue of a server socket, so that further connects get no reply. */
    static List<Socket> fillBacklog(ServerSocket server) throws IOException {
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

    /**
     * Responses under way were not counted, and later those that waited for room held up to 64 KiB each, so
     * that there was none for anybody. Now they stay in their sockets until there is room.
     */
    @Test
    void responsesBeyondTheBudgetWaitForRoom() throws Exception {
        int count = 60;
        String body = "r".repeat(1 << 16);
        MemoryBudget budget = new MemoryBudget(1 << 20, loop);
        BlockingQueue<RequestDispatcher.UpstreamResponse> responses = new LinkedBlockingQueue<>();
        try (FakeUpstream upstream = FakeUpstream.serving(body)) {
            UpstreamClient upstreamClient =
                    newClient(upstream.address(), LONG_TIMEOUT_NANOS, count, budget);
            // Connections that have brought a long response before take more from their sockets at once.
            for (int i = 0; i < count; i++) {
                loop.execute(() -> upstreamClient.send(1, get("/api/x"), LONG_TIMEOUT_NANOS,
                        (outcome, response, loadReport) -> {
                            response.release();
                            outcomes.add(outcome);
                        }));
            }
            for (int i = 0; i < count; i++) {
                assertEquals(Outcome.OK, FakeUpstream.next(outcomes));
            }
            Thread.sleep(UpstreamClient.MIN_IDLE_BEFORE_REUSE_MS);
            long waitedBefore = loop.submit(budget::waits).get();
            for (int i = 0; i < count; i++) {
                loop.execute(() -> upstreamClient.send(1, get("/api/x"), LONG_TIMEOUT_NANOS,
                        (outcome, response, loadReport) -> responses.add(response)));
            }
            // None is released until one had to wait, however slowly they come.
            Await.until(() -> loop.submit(budget::waits).get() > waitedBefore,
                    () -> "none had to wait: " + budget);
            for (int i = 0; i < count; i++) {
                RequestDispatcher.UpstreamResponse response = FakeUpstream.next(responses);
                assertEquals(body, new String(response.body(), StandardCharsets.ISO_8859_1));
                long held = loop.submit(budget::used).get();
                // Beyond the limit are the connections and, of each waiting response, one short read.
                assertTrue(held <= budget.limit() + count * (16L << 10), () -> "held: " + budget);
                loop.submit(response::release).sync();
            }
        }
        Await.until(() -> loop.submit(budget::used).get() == 0, () -> "held: " + budget);
    }

    /** Every upstream can be reached, even if there are more of them than connections allowed. */
    @Test
    void idleConnectionsAreClosedWhenTheLimitIsReached() throws Exception {
        try (FakeUpstream first = FakeUpstream.serving("1"); FakeUpstream second = FakeUpstream.serving("2");
                FakeUpstream third = FakeUpstream.serving("3")) {
            UpstreamClient upstreamClient = newClient(first.address(), LONG_TIMEOUT_NANOS, 2);
            loop.execute(() -> {
                upstreamClient.updateUpstream(2, second.address(), 0, true);
                upstreamClient.updateUpstream(3, third.address(), 0, true);
            });
            for (long id : new long[] {1, 2, 3, 2, 1}) {
                loop.execute(() -> upstreamClient.send(id, get("/api/x"), LONG_TIMEOUT_NANOS, this::onEnded));
                assertEquals(Outcome.OK, FakeUpstream.next(outcomes), "upstream " + id);
                Thread.sleep(UpstreamClient.MIN_IDLE_BEFORE_REUSE_MS);
            }
            FakeUpstream.next(first.disconnects);
            FakeUpstream.next(third.disconnects);
            assertEquals(0, second.disconnects.size(), "closed connections that were not idle for longest");
        }
    }

    /** Once an upstream drains, a request that waits for a connection must not be sent to it. */
    @Test
    void drainEndsAttemptsThatWaitForAConnection() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> fillers = fillBacklog(full);
            InetSocketAddress address = (InetSocketAddress) full.getLocalSocketAddress();
            UpstreamClient upstreamClient = newClient(address, LONG_TIMEOUT_NANOS, 10);
            send(upstreamClient);
            loop.execute(() -> upstreamClient.updateUpstream(1, address, 0, false));
            assertEquals(Outcome.CONNECT_FAILED, FakeUpstream.next(outcomes));
            send(upstreamClient);
            assertEquals(Outcome.CONNECT_FAILED, FakeUpstream.next(outcomes), "attempt sent after the drain");
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    /** An unreachable machine does not refuse a connect, so the connect timeout has to end the attempt. */
    @Test
    void hangingConnectFailsAtTheConnectTimeout() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> fillers = fillBacklog(full);
            send(newClient((InetSocketAddress) full.getLocalSocketAddress(), 100_000_000, 10));
            assertEquals(Outcome.CONNECT_FAILED, FakeUpstream.next(outcomes));
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    /** A machine that failed abruptly and restarted at the same address has not closed its connections. */
    @Test
    void idleConnectionsAreClosedWhenTheUpstreamRestarts() throws Exception {
        try (FakeUpstream upstream = FakeUpstream.serving("x")) {
            UpstreamClient upstreamClient = newClient(upstream.address(), LONG_TIMEOUT_NANOS, 10);
            send(upstreamClient);
            assertEquals(Outcome.OK, FakeUpstream.next(outcomes));
            loop.execute(() ->
                    upstreamClient.updateUpstream(1, upstream.address(), 1_700_000_000_000L, true));
            FakeUpstream.next(upstream.disconnects);
            send(upstreamClient);
            assertEquals(Outcome.OK, FakeUpstream.next(outcomes), "on a new connection");
        }
    }

    /** Beyond the limit an attempt is not sent, so that the process doesn't run out of file descriptors. */
    @Test
    void numberOfConnectionsIsLimited() throws Exception {
        try (FakeUpstream silent = new FakeUpstream((socket, head) -> true)) {
            UpstreamClient upstreamClient = newClient(silent.address(), LONG_TIMEOUT_NANOS, 2);
            send(upstreamClient);
            send(upstreamClient);
            FakeUpstream.next(silent.heads);
            FakeUpstream.next(silent.heads);
            send(upstreamClient);
            assertEquals(Outcome.NEVER_SENT, FakeUpstream.next(outcomes));
        }
    }

    /**
     * Cancelling closes the connection, and that fails the pending write. The failed write used to end the
     * attempt a second time.
     */
    @Test
    void attemptCancelledDuringItsWriteEndsOnce() throws Exception {
        try (ServerSocket unread = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            UpstreamClient upstreamClient = newClient((InetSocketAddress) unread.getLocalSocketAddress(),
                    LONG_TIMEOUT_NANOS, 10);
            byte[] body = new byte[32 << 20];
            UpstreamClient.RequestFactory large = timeLeft -> new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                    HttpMethod.POST, "/api/x", Unpooled.wrappedBuffer(body));
            UpstreamClient.Attempt attempt =
                    loop.submit(() -> upstreamClient.send(1, large, LONG_TIMEOUT_NANOS, this::onEnded)).get();
            try (Socket accepted = unread.accept()) {
                assertTrue(accepted.getInputStream().read() >= 0, "the request has begun to arrive");
                loop.submit(attempt::cancel).sync();
                assertEquals(Outcome.CANCELLED, FakeUpstream.next(outcomes));
                loop.submit(() -> { }).sync();
                assertNull(outcomes.poll(), "second outcome");
            }
        }
    }

    /** Load reports of responses and probes have the order of the settings; malformed ones count as none. */
    @Test
    void loadReportsAreParsed() throws Exception {
        List<String> texts = List.of("{\"q\":2,\"rate\":1.5,\"more\":0}",
                "{\"q\":2}", "{", "[]", "{\"q\":\"x\"}");
        try (FakeUpstream upstream = new FakeUpstream((socket, head) -> head.startsWith("GET /metrics/load")
                ? FakeUpstream.reply(socket, "200 OK", "", "{\"rate\":7,\"q\":0}")
                : FakeUpstream.reply(socket, "200 OK", "Srv-Load: " + FakeUpstream.header(head, "Report-Text")
                + "\r\n", "x"))) {
            UpstreamClient upstreamClient = newClient(upstream.address(), LONG_TIMEOUT_NANOS, 10);
            for (String text : texts) {
                FullHttpRequest request =
                        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
                request.headers().set("Report-Text", text);
                loop.execute(() ->
                        upstreamClient.send(1, timeLeft -> request, LONG_TIMEOUT_NANOS, this::onEnded));
                assertEquals(Outcome.OK, FakeUpstream.next(outcomes));
                assertArrayEquals(text.contains("rate") ? new float[] {1.5f, 2} : new float[0],
                        FakeUpstream.next(loadReports));
            }
            loop.execute(() -> upstreamClient.probe(1, this::onEnded));
            assertArrayEquals(new float[] {7, 0}, FakeUpstream.next(loadReports));
        }
    }

    /** A second response to one request must not be taken for the response to the next request. */
    @Test
    void surplusResponseIsDiscarded() throws Exception {
        BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
        try (FakeUpstream upstream = new FakeUpstream((socket, head) -> {
            String surplus = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nsurplus";
            FakeUpstream.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
                    + (head.startsWith("GET /first") ? surplus : ""));
            return true;
        })) {
            UpstreamClient upstreamClient = newClient(upstream.address(), LONG_TIMEOUT_NANOS, 10);
            UpstreamClient.Listener listener = (outcome, response, loadReport) ->
                    bodies.add(new String(response.body(), StandardCharsets.ISO_8859_1));
            loop.execute(() -> upstreamClient.send(1, get("/first"), LONG_TIMEOUT_NANOS,
                    (outcome, response, loadReport) ->
                            upstreamClient.send(1, get("/next"), LONG_TIMEOUT_NANOS, listener)));
            assertEquals("own", FakeUpstream.next(bodies));
        }
    }

    private static final String HALF_SURPLUS = "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nforeign";

    private static String whole(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** The rest of a surplus response that had come in half was taken from the next request's response. */
    @Test
    void halfASurplusResponseBecamePartOfTheNextResponse() throws Exception {
        BlockingQueue<Socket> sockets = new LinkedBlockingQueue<>();
        try (FakeUpstream upstream = new FakeUpstream((socket, head) -> {
            FakeUpstream.write(socket, whole("own"));
            return sockets.add(socket);
        })) {
            UpstreamClient upstreamClient = newClient(upstream.address(), LONG_TIMEOUT_NANOS, 10);
            send(upstreamClient);
            assertEquals(Outcome.OK, FakeUpstream.next(outcomes));
            FakeUpstream.write(FakeUpstream.next(sockets), HALF_SURPLUS);
            FakeUpstream.next(upstream.disconnects);
        }
    }

    /** The same with a surplus response that begins in the same read as the end of the whole one. */
    @Test
    void halfASurplusResponseInTheSameReadBecamePartOfTheNextResponse() throws Exception {
        try (FakeUpstream upstream = new FakeUpstream((socket, head) -> {
            FakeUpstream.write(socket, whole("own") + HALF_SURPLUS);
            return true;
        })) {
            send(newClient(upstream.address(), LONG_TIMEOUT_NANOS, 10));
            assertEquals(Outcome.OK, FakeUpstream.next(outcomes));
            FakeUpstream.next(upstream.disconnects);
        }
    }

    /** During a stall the connection has been idle for long enough, but not been read. */
    @Test
    void aSurplusResponseUnreadDuringAStallBecameTheNextResponse() throws Exception {
        BlockingQueue<Socket> sockets = new LinkedBlockingQueue<>();
        BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
        try (FakeUpstream upstream = new FakeUpstream((socket, head) -> {
            FakeUpstream.write(socket, whole("own"));
            return sockets.add(socket);
        })) {
            UpstreamClient upstreamClient = newClient(upstream.address(), LONG_TIMEOUT_NANOS, 10);
            send(upstreamClient);
            assertEquals(Outcome.OK, FakeUpstream.next(outcomes));
            loop.submit(() -> {
                FakeUpstream.write(FakeUpstream.next(sockets), whole("foreign"));
                Thread.sleep(2 * UpstreamClient.MIN_IDLE_BEFORE_REUSE_MS);
                return upstreamClient.send(1, get("/next"), LONG_TIMEOUT_NANOS,
                        (outcome, response, loadReport) ->
                                bodies.add(new String(response.body(), StandardCharsets.ISO_8859_1)));
            }).sync();
            assertEquals("own", FakeUpstream.next(bodies));
        }
    }

    /** The same with half a surplus response that comes before the request has been written. */
    @Test
    void halfASurplusResponseDuringAWriteBecamePartOfTheNextResponse() throws Exception {
        BlockingQueue<Socket> sockets = new LinkedBlockingQueue<>();
        CountDownLatch goOn = new CountDownLatch(1);
        try (FakeUpstream upstream = new FakeUpstream((socket, head) -> {
            FakeUpstream.write(socket, whole("own"));
            sockets.add(socket);
            return await(goOn);
        })) {
            UpstreamClient upstreamClient = newClient(upstream.address(), LONG_TIMEOUT_NANOS, 10);
            send(upstreamClient);
            assertEquals(Outcome.OK, FakeUpstream.next(outcomes));
            Thread.sleep(UpstreamClient.MIN_IDLE_BEFORE_REUSE_MS);
            byte[] body = new byte[32 << 20];
            loop.submit(() -> upstreamClient.send(1, timeLeft -> new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.POST, "/api/x", Unpooled.wrappedBuffer(body)),
                    LONG_TIMEOUT_NANOS, this::onEnded)).sync();
            FakeUpstream.write(FakeUpstream.next(sockets), HALF_SURPLUS);
            assertEquals(Outcome.CONNECT_FAILED, FakeUpstream.next(outcomes));
            goOn.countDown();
        }
    }

    private static boolean await(CountDownLatch latch) {
        try {
            latch.await();
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** A response larger than a body may be must not exhaust the memory. */
    @Test
    void oversizedResponseIsAnError() throws Exception {
        try (FakeUpstream upstream = FakeUpstream.serving("x".repeat(200_000))) {
            send(newClient(upstream.address(), LONG_TIMEOUT_NANOS, 10));
            assertEquals(false, FakeUpstream.next(outcomes).provesNeverRan());
        }
    }
}
