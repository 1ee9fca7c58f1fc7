package pondridge.testbed;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stub HTTP upstream. It records each request that arrives in full in the {@link RunHistory} and treats it
 * as its current {@link UpstreamBehaviour} says. The body of a response names the request and the attempt, so
 * that the client detects a response to another request.
 */
final class StubUpstream implements AutoCloseable {
    private static final int MAX_PADDING_BYTES = 2_000;
    private static final long SURPLUS_RESPONSE_DELAY_MS = 3;

    private final String uid;
    private final RunHistory history;
    private final long seed;
    private final LoopbackServer server;
    /** The sidecar's port of each connection, by the proxy's port. */
    private final Map<Integer, Integer> sidecarPorts = new ConcurrentHashMap<>();
    private volatile UpstreamBehaviour behaviour = UpstreamBehaviour.HEALTHY;

    StubUpstream(String uid, RunHistory history, long seed) throws IOException {
        this.uid = uid;
        this.history = history;
        this.seed = seed;
        this.server = new LoopbackServer(uid, this::serve);
    }

    String uid() {
        return uid;
    }

    int port() {
        return server.port();
    }

    /** Called by the proxy for each connection that it has opened, before it forwards anything. */
    void connectionProxied(int proxyPort, int sidecarPort) {
        sidecarPorts.put(proxyPort, sidecarPort);
    }

    void setBehaviour(UpstreamBehaviour next) {
        behaviour = next;
    }

    /** Resets all connections and refuses new ones, as if the process had died. */
    void crash() throws IOException {
        server.crash();
    }

    /** Accepts connections again, on the same port. */
    void restart() throws IOException {
        server.restart();
    }

    private void serve(Socket connection) throws IOException {
        ArrivalInputStream arrivals = new ArrivalInputStream(connection.getInputStream());
        InputStream in = new BufferedInputStream(arrivals);
        boolean open = true;
        while (open) {
            arrivals.clearFirstByte();
            HttpMessage request = HttpMessage.read(in);
            if (request == null) {
                return;
            }
            long lastByteAt = System.nanoTime();
            long firstByteAt = arrivals.firstByteAt() == 0 ? lastByteAt : arrivals.firstByteAt();
            open = respond(connection, request, firstByteAt, lastByteAt);
        }
    }

    /**
     * Handles one request.
     *
     * @return whether the connection stays open for further requests
     */
    private boolean respond(Socket connection, HttpMessage request, long firstByteAt, long lastByteAt)
            throws IOException {
        String id = request.header("Req-Id");
        if (id == null) {
            write(connection, response("404 Not Found", "", ""));
            return true;
        }
        if (history.request(id) == null) {
            history.report(new Violation(Invariant.GENUINE, uid + " got an id that no client sent: " + id));
        }
        long number = history.nextAttemptNumber();
        Random random = SeededRandom.create(seed, id + uid);
        UpstreamBehaviour.Disposition disposition = behaviour.draw(random);
        long deadlineMs = Long.parseLong(request.headers().getOrDefault("req-deadline-ms", "-1"));
        history.add(new AttemptRecord(number, id, uid, firstByteAt, lastByteAt, deadlineMs,
                disposition == UpstreamBehaviour.Disposition.REJECT,
                sidecarPorts.getOrDefault(connection.getPort(), connection.getPort())));
        if (disposition != UpstreamBehaviour.Disposition.REJECT) {
            sleep(behaviour.serviceMs(random));
        }
        return applyDisposition(disposition, connection, body(id, number, random));
    }

    private boolean applyDisposition(UpstreamBehaviour.Disposition disposition, Socket connection,
            String body) throws IOException {
        String complete = response("200 OK", "", body);
        switch (disposition) {
            case ERROR -> write(connection, response("500 Internal Server Error", "", ""));
            case REJECT -> write(connection,
                    response("503 Service Unavailable", "Srv-Declined: 1\r\n", ""));
            case RESET -> LoopbackServer.reset(connection);
            case RESET_MID_RESPONSE -> {
                write(connection, complete.substring(0, complete.length() - 2));
                LoopbackServer.reset(connection);
            }
            case HANG -> awaitClose(connection);
            case MALFORMED -> write(connection, "HTTP/1.1 200 OK\r\nno header at all\r\n\r\n" + body);
            case SURPLUS_RESPONSE -> {
                write(connection, complete);
                sleep(SURPLUS_RESPONSE_DELAY_MS);
                write(connection, response("200 OK", "", "surplus"));
            }
            case UNFRAMED -> {
                write(connection, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body);
                return false;
            }
            case CLOSE_AFTER -> {
                write(connection, complete);
                return false;
            }
            default -> write(connection, complete);
        }
        return disposition != UpstreamBehaviour.Disposition.RESET
                && disposition != UpstreamBehaviour.Disposition.RESET_MID_RESPONSE;
    }

    private static void awaitClose(Socket connection) throws IOException {
        while (connection.getInputStream().read() >= 0) {
            // Bytes that arrive meanwhile are ignored.
        }
    }

    private static String response(String status, String headers, String body) {
        return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    /** Builds a body from the request, the attempt and the padding's length: a client detects a cut body. */
    private static String body(String id, long number, Random random) {
        String padding = "x".repeat(random.nextInt(MAX_PADDING_BYTES));
        return id + " " + number + " " + padding.length() + " " + padding;
    }

    /**
     * Returns the number of the attempt whose response has this body, or -1 if no upstream can have sent it
     * for this request.
     */
    static long parseAttemptNumber(String requestId, byte[] body) {
        String[] parts = new String(body, StandardCharsets.ISO_8859_1).split(" ", 4);
        if (parts.length != 4 || !parts[0].equals(requestId)
                || !Integer.toString(parts[3].length()).equals(parts[2])) {
            return -1;
        }
        return Long.parseLong(parts[1]);
    }

    private static void write(Socket connection, String text) throws IOException {
        OutputStream out = connection.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Sleeps for a time in milliseconds; returns at once if it is not positive, or when interrupted. */
    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
