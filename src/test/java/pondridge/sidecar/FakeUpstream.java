package pondridge.sidecar;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A scripted HTTP server on an ephemeral loopback port; stands in for an upstream or for discovery. Each
 * connection has a thread of its own.
 */
final class FakeUpstream implements AutoCloseable {
    /** Long enough for a loaded machine; a test that passes never waits so long. */
    static final long TIMEOUT_S = 30;

    /** Responds to one request; a result of false closes the connection. */
    interface Script {
        boolean respond(Socket socket, String head) throws IOException;
    }

    /** Request line and headers of each request received. */
    final BlockingQueue<String> heads = new LinkedBlockingQueue<>();
    final BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
    /** One entry for each connection that the sidecar has closed or reset. */
    final BlockingQueue<String> disconnects = new LinkedBlockingQueue<>();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final ServerSocket server;
    private final Thread acceptor;
    private final Script script;

    FakeUpstream(Script script) {
        this.script = script;
        try {
            server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        acceptor = startThread(this::acceptAll);
    }

    /** An upstream that responds to each request with 200 and this body. */
    static FakeUpstream serving(String body) {
        return new FakeUpstream((socket, head) ->
                reply(socket, "200 OK", "Content-Type: text/x-part\r\n", body));
    }

    static boolean reply(Socket socket, String status, String headers, String body) throws IOException {
        write(socket, "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length()
                + "\r\n\r\n" + body);
        return true;
    }

    static void write(Socket socket, String text) throws IOException {
        // Taken once: the other side may close the connection, and serve() the socket, after the write.
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Makes the close of a connection a TCP reset; returns false, for the script to return. */
    static boolean reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        return false;
    }

    static Thread startThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Waits for a latch; returns false, for the script to return, if the test ends before. */
    static boolean await(CountDownLatch latch) {
        try {
            return latch.await(TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            return false;
        }
    }

    /** Takes the next entry of a queue; fails the test if none comes within the timeout. */
    static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(TIMEOUT_S, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("no entry within " + TIMEOUT_S + " s");
        }
        return next;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    String endpoint() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                startThread(() -> serve(socket));
            }
        } catch (IOException e) {
            // The listening socket has been closed by stop().
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String head = readHead(in); !head.isEmpty(); head = readHead(in)) {
                bodies.add(new String(in.readNBytes(contentLength(head)), StandardCharsets.ISO_8859_1));
                heads.add(head);
                if (!script.respond(socket, head)) {
                    return;
                }
            }
            disconnects.add("end");
        } catch (IOException e) {
            disconnects.add("broken");
        }
    }

    /** Reads a head up to and including its blank line; empty at the end of the stream. */
    static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            head.write(next);
            if (next == '\n' && head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
                return head.toString(StandardCharsets.ISO_8859_1);
            }
        }
        return "";
    }

    static int contentLength(String head) {
        String length = header(head, "content-length");
        return length == null ? 0 : Integer.parseInt(length);
    }

    static String header(String head, String name) {
        return head.lines().filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                .map(line -> line.substring(name.length() + 1).trim()).findFirst().orElse(null);
    }

    @Override
    public void close() throws IOException {
        stop();
    }

    /**
     * Closes everything, as the end of a process does: open connections are closed, new ones are refused. The
     * accepting thread ends first, so that it adds no socket meanwhile.
     */
    void stop() throws IOException {
        server.close();
        try {
            acceptor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
