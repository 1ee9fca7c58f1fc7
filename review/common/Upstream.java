package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A stand-in for an upstream, with one thread for each connection. */
public final class Upstream {
    /** Answers the requests; each connection has one request at a time. */
    public interface Handler {
        /** Returns whether the connection stays open. */
        boolean handle(Upstream upstream, HttpMessage request, Socket socket, OutputStream out)
                throws IOException;
    }

    public final String uid;
    private final ServerSocket server;
    private final Handler handler;

    public Upstream(String uid, Handler handler) throws IOException {
        this(uid, handler, 1024);
    }

    public Upstream(String uid, Handler handler, int backlog) throws IOException {
        this.uid = uid;
        this.handler = handler;
        server = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
    }

    public int port() {
        return server.getLocalPort();
    }

    /** Begins to accept connections. */
    public void start() {
        run(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    run(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    private static void run(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Serves a connection that the caller has accepted. */
    public void serveOn(Socket socket) {
        run(() -> serve(socket));
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                HttpMessage request = HttpMessage.read(in);
                if (request == null || !handler.handle(this, request, socket, out)) {
                    return;
                }
            }
        } catch (IOException e) {
            // The sidecar has closed the connection.
        }
    }

    /** A whole answer that turns a request away unrun. */
    public static byte[] declined(String body) {
        return ("HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A whole 200 answer. */
    public static byte[] answer(String body) {
        return ("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1);
    }
}
