package review;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A client with one connection, which it keeps. If the sidecar closes the connection between two requests and
 * the close crosses a request, the request is sent once more on a new connection, as the protocol page says.
 */
public final class Client {
    /** A late answer is lost if it comes later than this after the request's time. */
    public static final int LATE_MS = 550;
    /** Ids that a client has sent a second time itself. */
    public static final Set<String> RESENT = ConcurrentHashMap.newKeySet();
    private static final Random RANDOM = new Random();

    private static final int CONNECT_TIMEOUT_MS = 2_000;

    /**
     * What the client saw: a status, 0 if no answer came in time, -1 if no connection came up, so that the
     * sidecar can't have taken the request, or -2 if the connection was closed without an answer. The last is not
     * judged: the pages excuse a close on a request that has not been read, and a client can't see whether it was.
     */
    public record Result(String id, int status, String text, long startedMs, long ms) { }

    private final Kit kit;
    private final int port;
    private Socket socket;
    private InputStream in;

    public Client(Kit kit, int port) {
        this.kit = kit;
        this.port = port;
    }

    /** A fresh value for {@code Req-Id}. */
    public static String newId() {
        synchronized (RANDOM) {
            return String.format("%016x", RANDOM.nextLong());
        }
    }

    /**
     * Sends a request and waits for its final answer.
     *
     * @param key the idempotency key, or null for a class without one
     */
    public Result send(String id, String kind, String key, int deadlineMs, byte[] body) {
        byte[] head = ("POST /api HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind
                + "\r\nReq-Owner: acme\r\nReq-Deadline-Ms: " + deadlineMs + "\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] request = new byte[head.length + body.length];
        System.arraycopy(head, 0, request, 0, head.length);
        System.arraycopy(body, 0, request, head.length, body.length);
        boolean reused = socket != null;
        Result result = attempt(id, request, deadlineMs);
        if (result.status == -2 && reused) {
            RESENT.add(id);
            result = attempt(id, request, deadlineMs);
        }
        return result;
    }

    private Result attempt(String id, byte[] request, int deadlineMs) {
        long began = kit.ms();
        try {
            if (socket == null) {
                socket = connect(port);
                in = new BufferedInputStream(socket.getInputStream());
            }
        } catch (IOException e) {
            return new Result(id, -1, "not connected: " + e.getMessage(), began, kit.ms() - began);
        }
        try {
            socket.setSoTimeout(deadlineMs + LATE_MS);
            socket.getOutputStream().write(request);
            HttpMessage response = HttpMessage.read(in);
            if (response == null) {
                throw new EOFException("end of stream");
            }
            if ("close".equalsIgnoreCase(response.headers().get("Connection"))) {
                close();
            }
            return new Result(id, response.status(), response.text(), began, kit.ms() - began);
        } catch (SocketTimeoutException e) {
            close();
            return new Result(id, 0, "no answer within " + (deadlineMs + LATE_MS) + " ms", began,
                    kit.ms() - began);
        } catch (IOException e) {
            close();
            return new Result(id, -2, "closed without an answer: " + e.getMessage(), began, kit.ms() - began);
        }
    }

    /** Opens a connection to a sidecar. */
    public static Socket connect(int port) throws IOException {
        Socket opened = new Socket();
        try {
            opened.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_TIMEOUT_MS);
            opened.setTcpNoDelay(true);
            return opened;
        } catch (IOException e) {
            opened.close();
            throw e;
        }
    }

    /** Closes the connection, if there is one. */
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // Closed all the same.
        }
        socket = null;
    }
}
