package pondridge.testbed;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A stub discovery service that serves the whole list of upstreams and watches on its changes. It can move to
 * another address, and its watches can be reset or silenced.
 */
final class StubDiscovery implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long HEARTBEAT_INTERVAL_MS = 2_000;
    private static final long POLL_INTERVAL_MS = 5;

    /** One upstream's entry in the list; {@code bootMs} is its start in milliseconds since the epoch. */
    record ListEntry(String uid, String endpoint, String state, long bootMs) { }

    /** The entries that changed after some revision, with the revision that they lead to. */
    private record Changes(long rev, List<ListEntry> entries) { }

    /** The current list by uid. */
    private final Map<String, ListEntry> entries = new LinkedHashMap<>();
    /** Every change by the revision that it created. */
    private final TreeMap<Long, ListEntry> changes = new TreeMap<>();
    private long rev = 1;
    private volatile LoopbackServer server;
    /** Watches opened up to this time of {@link System#nanoTime} send nothing any more. */
    private volatile long silencedAtNanos = Long.MIN_VALUE;

    StubDiscovery() throws IOException {
        server = listen();
    }

    private LoopbackServer listen() throws IOException {
        return new LoopbackServer("discovery", this::serve);
    }

    String endpoint() {
        return server.endpoint();
    }

    /** Changes or deletes one entry; every open watch sends the change. */
    synchronized void update(ListEntry entry) {
        rev++;
        changes.put(rev, entry);
        if (entry.state().equals("DELETED")) {
            entries.remove(entry.uid());
        } else {
            entries.put(entry.uid(), entry);
        }
        notifyAll();
    }

    /** Returns the whole list as a JSON object. */
    synchronized ObjectNode list() {
        return message(true, rev, new ArrayList<>(entries.values()));
    }

    private static ObjectNode message(boolean full, long rev, List<ListEntry> entries) {
        ObjectNode message = JSON.createObjectNode().put("rev", rev).put("all", full);
        ArrayNode targets = message.putArray("targets");
        for (ListEntry entry : entries) {
            targets.addObject().put("uid", entry.uid()).put("endpoint", entry.endpoint())
                    .put("az", "a").put("model", "m").put("pod_group", 1).put("state", entry.state())
                    .put("capacity_hint", 1.0).put("boot_ms", entry.bootMs());
        }
        return message;
    }

    /** Resets the connections of all open watches. */
    void resetWatches() {
        server.resetConnections();
    }

    /** Makes the watches that are open now send nothing any more, while their connections stay open. */
    void silenceWatches() {
        silencedAtNanos = System.nanoTime();
    }

    /**
     * Moves to another address. The old address accepts no new connections; its open ones are reset after the
     * given time in milliseconds.
     */
    void move(long resetOldAfterMs) throws IOException {
        LoopbackServer old = server;
        server = listen();
        old.stopAccepting();
        LoopbackServer.startThread("discovery-old", () -> {
            StubUpstream.sleep(resetOldAfterMs);
            old.resetConnections();
        });
    }

    private void serve(Socket connection) throws IOException {
        InputStream in = new BufferedInputStream(connection.getInputStream());
        for (HttpMessage request = HttpMessage.read(in); request != null; request = HttpMessage.read(in)) {
            if (!request.startLine().contains("watch=1")) {
                String body = list().toString();
                write(connection,
                        "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            } else {
                write(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                serveWatch(connection, parseFromRev(request.startLine()));
            }
        }
    }

    private static long parseFromRev(String startLine) {
        String value = startLine.replaceAll(".*from=(\\d+).*", "$1");
        return Long.parseLong(value);
    }

    private void serveWatch(Socket connection, long fromRev) throws IOException {
        long knownRev = fromRev;
        long openedAt = System.nanoTime();
        long nextHeartbeat = openedAt;
        while (!connection.isClosed() && openedAt > silencedAtNanos) {
            Changes latest = changesSince(knownRev);
            if (!latest.entries().isEmpty()) {
                knownRev = latest.rev();
                writeChunk(connection, message(false, latest.rev(), latest.entries()) + "\n");
            } else if (System.nanoTime() >= nextHeartbeat) {
                writeChunk(connection, "\n");
                nextHeartbeat = System.nanoTime() + HEARTBEAT_INTERVAL_MS * 1_000_000;
            }
            StubUpstream.sleep(POLL_INTERVAL_MS);
        }
        // A silenced watch stays open until the sidecar closes it.
        while (connection.getInputStream().read() >= 0) {
            StubUpstream.sleep(POLL_INTERVAL_MS);
        }
    }

    private synchronized Changes changesSince(long knownRev) {
        return new Changes(rev, new ArrayList<>(changes.tailMap(knownRev, false).values()));
    }

    private static void writeChunk(Socket connection, String text) throws IOException {
        write(connection, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
