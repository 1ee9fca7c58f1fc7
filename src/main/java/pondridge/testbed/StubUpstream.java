package pondridge.testbed;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;

/**
 * A stand-in for an upstream: records each request that arrives whole and answers it as its mood says. The
 * body of an answer names the request and the attempt, so that a wrong answer is recognized.
 */
final class StubUpstream implements AutoCloseable {
    private static final int LONGEST_PADDING = 2_000;
    private static final long SURPLUS_DELAY_MS = 3;

    private final String uid;
    private final RunHistory history;
    private final long seed;
    private final LoopbackServer listener;
    private volatile UpstreamBehaviour mood = UpstreamBehaviour.HEALTHY;

    StubUpstream(String uid, RunHistory history, long seed) throws IOException {
        this.uid = uid;
        this.history = history;
        this.seed = seed;
        this.listener = new LoopbackServer(uid, this::serve);
    }

    String uid() {
        return uid;
    }

    int port() {
        return listener.port();
    }

    void mood(UpstreamBehaviour next) {
        mood = next;
    }

    /** Ends as a process that dies. */
    void crash() throws IOException {
        listener.crash();
    }

    void startAgain() throws IOException {
        listener.startAgain();
    }

    private void serve(Socket connection) throws IOException {
        ArrivalInputStream arrivals = new ArrivalInputStream(connection.getInputStream());
        InputStream in = new BufferedInputStream(arrivals);
        boolean open = true;
        while (open) {
            arrivals.restart();
            HttpMessage request = HttpMessage.read(in);
            if (request == null) {
                return;
            }
            long now = System.nanoTime();
            long firstByteAt = arrivals.firstByteAt() == 0 ? now : arrivals.firstByteAt();
            open = answer(connection, request, firstByteAt, now);
        }
    }

    /** Whether the connection goes on. */
    private boolean answer(Socket connection, HttpMessage request, long firstByteAt, long lastByteAt)
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
        Random random = SeededRandom.random(seed, id + uid);
        UpstreamBehaviour.Disposition fate = mood.draw(random);
        long toldMs = Long.parseLong(request.headers().getOrDefault("req-deadline-ms", "-1"));
        history.add(new AttemptRecord(number, id, uid, firstByteAt, lastByteAt, toldMs,
                fate == UpstreamBehaviour.Disposition.REJECT));
        if (fate != UpstreamBehaviour.Disposition.REJECT) {
            sleep(mood.serviceMs(random));
        }
        return carryOut(fate, connection, body(id, number, random));
    }

    private boolean carryOut(UpstreamBehaviour.Disposition fate, Socket connection, String body)
            throws IOException {
        String whole = response("200 OK", "", body);
        switch (fate) {
            case ERROR -> write(connection, response("500 Internal Server Error", "", ""));
            case REJECT -> write(connection,
                    response("503 Service Unavailable", "Srv-Declined: 1\r\n", ""));
            case RESET -> LoopbackServer.reset(connection);
            case RESET_MID_RESPONSE -> {
                write(connection, whole.substring(0, whole.length() - 2));
                LoopbackServer.reset(connection);
            }
            case HANG -> awaitEnd(connection);
            case MALFORMED -> write(connection, "HTTP/1.1 200 OK\r\nno header at all\r\n\r\n" + body);
            case EXTRA_RESPONSE -> {
                write(connection, whole);
                sleep(SURPLUS_DELAY_MS);
                write(connection, response("200 OK", "", "surplus"));
            }
            case UNFRAMED -> {
                write(connection, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body);
                return false;
            }
            case CLOSE_AFTER -> {
                write(connection, whole);
                return false;
            }
            default -> write(connection, whole);
        }
        return fate != UpstreamBehaviour.Disposition.RESET
                && fate != UpstreamBehaviour.Disposition.RESET_MID_RESPONSE;
    }

    private static void awaitEnd(Socket connection) throws IOException {
        while (connection.getInputStream().read() >= 0) {
            // What arrives is not looked at.
        }
    }

    private static String response(String status, String headers, String body) {
        return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    /** The request, the attempt and the length, so that a client can tell whether all of it is there. */
    private static String body(String id, long number, Random random) {
        String padding = "x".repeat(random.nextInt(LONGEST_PADDING));
        return id + " " + number + " " + padding.length() + " " + padding;
    }

    /**
     * The number of the attempt that made a body, or -1 if no upstream can have made it for this request.
     */
    static long attemptOf(String requestId, byte[] body) {
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

    /** Sleeps, not at all where the time is not positive. */
    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
