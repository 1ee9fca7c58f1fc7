package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A stand-in for discovery: answers calls for the whole list and watches, with an empty line every 2 s while
 * nothing changes. While it is down it says nothing, or resets connections.
 */
final class Discovery {
    /** One entry of the list. */
    record Target(String uid, String endpoint, int group, String state, long bootMs) {
        String json() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint + "\",\"az\":\"tvm-dc1\",\"model\":\"std-3c\","
                    + "\"pod_group\":" + group + ",\"state\":\"" + state
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMs + "}";
        }
    }

    /** How calls are answered. */
    enum Mode { UP, SILENT, REFUSING }

    private final Recording record;
    private final Server server;
    private final List<Target> targets = new CopyOnWriteArrayList<>();
    private int revision = 41;
    private Mode mode = Mode.UP;
    /** When the present list was first written to a sidecar, in ms of the record; 0 if it was not yet. */
    volatile double toldAt;
    /** How many calls, from the first on, are accepted and then stay silent. */
    volatile int silentCalls;
    volatile int calls;

    Discovery(Recording record) throws IOException {
        this.record = record;
        this.server = new Server(this::handle);
    }

    String address() {
        return server.address();
    }

    /** Adds an upstream, or replaces the entry of one; watches are told. */
    synchronized void put(Target target) {
        targets.removeIf(each -> each.uid().equals(target.uid()));
        targets.add(target);
        revision++;
        toldAt = 0;
        record.add("discovery: rev " + revision + " has " + target.uid() + " " + target.state());
        notifyAll();
    }

    /** Changes how calls are answered from now on; a change to REFUSING resets the open connections. */
    synchronized void mode(Mode next) throws IOException {
        record.add("discovery: " + next);
        mode = next;
        if (next == Mode.REFUSING) {
            server.resetConnections();
        }
        notifyAll();
    }

    /** Takes no new connections any more. */
    void stopListening() throws IOException {
        server.close();
    }

    /** The whole list. */
    synchronized String list() {
        List<String> entries = new ArrayList<>();
        targets.forEach(target -> entries.add(target.json()));
        return "{\"rev\":" + revision + ",\"all\":true,\"targets\":[" + String.join(",", entries) + "]}";
    }

    private void handle(Socket connection) throws Exception {
        Message call = Message.read(connection.getInputStream());
        if (call == null) {
            return;
        }
        calls++;
        record.add("discovery: call " + call.firstLine());
        if (calls <= silentCalls) {
            record.add("discovery: stays silent on call " + calls);
            Thread.sleep(600_000);
        }
        synchronized (this) {
            if (mode == Mode.REFUSING) {
                Server.reset(connection);
                return;
            }
            while (mode == Mode.SILENT) {
                wait();
            }
        }
        OutputStream out = connection.getOutputStream();
        out.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
        int written = -1;
        while (true) {
            String text;
            synchronized (this) {
                if (written == revision) {
                    wait(2000);
                }
                while (mode == Mode.SILENT) {
                    wait();
                }
                text = written == revision ? "\n" : list() + "\n";
                written = revision;
            }
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(bytes);
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
            synchronized (this) {
                if (bytes.length > 1 && toldAt == 0 && written == revision) {
                    toldAt = record.nowMs();
                    record.add("discovery: rev " + written + " written to the sidecar");
                }
            }
        }
    }
}
