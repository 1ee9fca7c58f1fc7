package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A sidecar in the test's process, on an event loop of its own, that knows its upstreams from the start. Also
 * builds configurations and requests, and includes a client.
 */
final class SidecarHarness implements AutoCloseable {
    /** {@code Req-Deadline-Ms} of the requests built here: longer than any test waits. */
    static final int DEADLINE_MS = 20_000;

    private final EventLoopMonitor loopMonitor = new EventLoopMonitor();
    final EventLoop loop = EventLoops.create(loopMonitor);
    final Frontend frontend;
    final RequestDispatcher dispatcher;
    final InetSocketAddress address;
    private final CountDownLatch listReceived = new CountDownLatch(1);

    /** Discovery for tests that need no changes of the list: confirms each sidecar's known list. */
    private static final FakeUpstream UNCHANGED_DISCOVERY =
            new FakeUpstream((socket, head) -> sendHeartbeats(socket));
    private static final AtomicLong POSTS = new AtomicLong();
    private static final long HEARTBEAT_INTERVAL_MS = 2_000;

    /** A response as the client received it. */
    record Response(int status, String head, String body) { }

    /** Starts a sidecar and waits until discovery has confirmed its list. */
    SidecarHarness(ObjectNode json) throws Exception {
        this(json, true);
    }

    /** Starts a sidecar; it refuses requests until discovery has confirmed its list. */
    SidecarHarness(ObjectNode json, boolean awaitList) throws Exception {
        Config config = Config.of(json);
        dispatcher = new RequestDispatcher(loop, config, 100);
        frontend = new Frontend(dispatcher, loopMonitor, config.settingsReader(), 100);
        loop.submit(() -> dispatcher.start(listReceived::countDown)).sync();
        address = (InetSocketAddress) frontend.listen(loop, config.listen()).sync().channel().localAddress();
        if (awaitList) {
            awaitList();
        }
    }

    /** Waits until discovery has confirmed the known list or sent another. */
    void awaitList() throws InterruptedException {
        assertTrue(listReceived.await(FakeUpstream.TIMEOUT_S, TimeUnit.SECONDS), "discovery did not respond");
    }

    /**
     * Blocks the event loop while it reads its sockets; returns once the loop is blocked, which lasts until
     * {@code resume} is counted down.
     */
    void stallLoop(CountDownLatch resume) throws Exception {
        CountDownLatch stalled = new CountDownLatch(1);
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            new Bootstrap().group(loop).channel(NioSocketChannel.class)
                    .handler(new ChannelInboundHandlerAdapter() {
                        @Override
                        public void channelRead(ChannelHandlerContext context, Object message)
                                throws Exception {
                            ReferenceCountUtil.release(message);
                            stalled.countDown();
                            resume.await();
                            context.close();
                        }
                    }).connect(server.getLocalSocketAddress()).sync();
            try (Socket socket = server.accept()) {
                FakeUpstream.write(socket, "x");
                stalled.await();
            }
        }
    }

    /** Opens a watch, and sends an empty line at once and every 2 s until it is closed. */
    static boolean sendHeartbeats(Socket socket) throws IOException {
        FakeUpstream.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        while (true) {
            FakeUpstream.write(socket, "1\r\n\n\r\n");
            try {
                Thread.sleep(HEARTBEAT_INTERVAL_MS);
            } catch (InterruptedException e) {
                return false;
            }
        }
    }

    static SidecarHarness with(FakeUpstream... upstreams) throws Exception {
        return new SidecarHarness(configJson(upstreams));
    }

    /**
     * A configuration with one tenant and with request classes look (safe: REPEATABLE), hold (keyed: BY_KEY)
     * and book (unsafe: ONCE).
     */
    static ObjectNode configJson(FakeUpstream... upstreams) throws IOException {
        ObjectNode root = (ObjectNode) Config.JSON.readTree("""
                {"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 "known":{"rev":41,"all":true,"targets":[]},
                 "settings":{"discovery":"automatic","quantum":5000000,"rank":0,"replicasOfMe":1,
                  "zones":["a","b"],"kinds":["m"],
                  "report":{"how":"piggyback","fields":["rate","q"]},
                  "caps":{"mayCancel":true,"mayProbe":true,"tryLimit":3,"connectTimeout":5000000000,
                   "connIdle":60000000000,"maxRetryAfter":750000000,"retryAfter":true},
                  "parties":[{"name":"acme","portion":1.0,"quotaRps":100}],
                  "rules":{"answerSlack":20000000,"stopSendingWithin":2000000000,"coldShare":0.39,
                   "rampTime":7400000000,"overloadFactor":4.0,"tipAfter":1500000000,"askWithin":10000000000},
                  "profiles":[
                   {"name":"look","slo":20000000000,"deadline":20000000000,"semantics":"repeatable"},
                   {"name":"hold","slo":20000000000,"deadline":20000000000,"semantics":"by_key",
                    "keyScope":"all","keyTtl":60000000000},
                   {"name":"book","slo":20000000000,"deadline":20000000000,"semantics":"once"}]}}""");
        root.put("discovery", UNCHANGED_DISCOVERY.endpoint());
        ArrayNode targets = root.withObject("/known").withArray("/targets");
        for (int i = 0; i < upstreams.length; i++) {
            targets.add(listEntry("s-" + i, upstreams[i].endpoint(), "SERVING"));
        }
        return root;
    }

    /** An entry of the upstream list. */
    static ObjectNode listEntry(String uid, String endpoint, String state) {
        return Config.JSON.createObjectNode().put("uid", uid).put("endpoint", endpoint).put("az", "a")
                .put("model", "m").put("pod_group", 1).put("state", state).put("capacity_hint", 1.0)
                .put("boot_ms", 0);
    }

    /** A request of class look. */
    static String safeRequest(String id) {
        return "GET /api/7f3a?full=1 HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id
                + "\r\nReq-Kind: look\r\nReq-Owner: acme\r\nReq-Deadline-Ms: " + DEADLINE_MS + "\r\n\r\n";
    }

    /** A POST request with an id of its own and further header lines, each with its line end. */
    static String post(String className, String headers, String body) {
        return "POST /api/7f3a HTTP/1.1\r\nHost: app.svc\r\nReq-Id: post-" + POSTS.incrementAndGet()
                + "\r\nReq-Kind: " + className
                + "\r\nReq-Owner: acme\r\nReq-Deadline-Ms: " + DEADLINE_MS + "\r\n" + headers
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Sends a request on a new connection and reads one response. */
    Response exchange(String request) throws IOException {
        try (Client client = new Client(address)) {
            return client.exchange(request);
        }
    }

    /** One client connection to the sidecar. */
    static final class Client implements AutoCloseable {
        final Socket socket;
        private final InputStream in;

        Client(InetSocketAddress address) throws IOException {
            socket = new Socket(address.getAddress(), address.getPort());
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakeUpstream.TIMEOUT_S));
            in = new BufferedInputStream(socket.getInputStream());
        }

        Response exchange(String request) throws IOException {
            FakeUpstream.write(socket, request);
            return readResponse();
        }

        Response readResponse() throws IOException {
            String head = FakeUpstream.readHead(in);
            if (head.isEmpty()) {
                throw new IOException("connection closed without a response");
            }
            String body = new String(in.readNBytes(FakeUpstream.contentLength(head)),
                    StandardCharsets.ISO_8859_1);
            return new Response(Integer.parseInt(head.substring(9, 12)), head, body);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    @Override
    public void close() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
