package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A stand-in for an upstream: serves each whole request with a body of its own, and records it. */
final class Upstream {
    /** A request that has arrived whole. */
    record Arrival(String uid, double atMs, Message request) { }

    /** Answers one request; returns whether the connection stays open. */
    interface Behaviour {
        boolean answer(Message request, Socket connection) throws Exception;
    }

    private static final long WORK_MS = 100;

    final String uid;
    final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final Server server;
    private final String address;
    volatile Behaviour behaviour;

    Upstream(String uid, Recording record) throws IOException {
        this.uid = uid;
        this.behaviour = (request, connection) -> {
            Thread.sleep(WORK_MS);
            served(connection, "done " + request.header("req-id") + " at " + uid);
            return true;
        };
        this.server = new Server(connection -> {
            for (Message request = Message.read(connection.getInputStream()); request != null;
                    request = Message.read(connection.getInputStream())) {
                arrivals.add(new Arrival(uid, record.nowMs(), request));
                record.add(uid + ": got " + request.firstLine() + " Req-Id " + request.header("req-id") + ", "
                        + request.body().length + " bytes of body");
                if (!behaviour.answer(request, connection)) {
                    return;
                }
            }
        });
        this.address = server.address();
    }

    /** Writes a whole 200 response. */
    static void served(Socket connection, String body) throws IOException {
        raw(connection, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Writes bytes as they are. */
    static void raw(Socket connection, String bytes) throws IOException {
        OutputStream out = connection.getOutputStream();
        out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Ends as a process does: its connections are reset and new ones refused. */
    void end(Recording record) throws IOException {
        record.add(uid + ": its process ends");
        server.close();
        server.resetConnections();
    }

    Discovery.Target target(String state) {
        return new Discovery.Target(uid, address, 1, state, 0);
    }
}
