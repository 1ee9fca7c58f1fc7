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
 * A stand-in for discovery's agent: answers for the whole list and keeps watches open. It can be moved to
 * another address, its watches can be reset or fall silent.
 */
final class StubDiscovery implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long HEARTBEAT_MS = 2_000;
    private static final long POLL_MS = 5;

    /** One upstream as the list shows it. */
    record Entry(String uid, String endpoint, String state, long bootMs) { }

    private record Changes(long rev, List<Entry> entries) { }

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final TreeMap<Long, Entry> changes = new TreeMap<>();
    private long rev = 1;
    private volatile LoopbackServer listener;
    /** Watches opened before this time say nothing any more. */
    private volatile long silencedAt = Long.MIN_VALUE;

    StubDiscovery() throws IOException {
        listener = listen();
    }

    private LoopbackServer listen() throws IOException {
        return new LoopbackServer("discovery", this::serve);
    }

    String endpoint() {
        return listener.endpoint();
    }

    /** Changes one entry; every open watch tells it. */
    synchronized void set(Entry entry) {
        rev++;
        changes.put(rev, entry);
        if (entry.state().equals("DELETED")) {
            entries.remove(entry.uid());
        } else {
            entries.put(entry.uid(), entry);
        }
        notifyAll();
    }

    /** The list as one JSON object. */
    synchronized ObjectNode list() {
        return message(true, rev, new ArrayList<>(entries.values()));
    }

    private static ObjectNode message(boolean all, long rev, List<Entry> told) {
        ObjectNode message = JSON.createObjectNode().put("rev", rev).put("all", all);
        ArrayNode targets = message.putArray("targets");
        for (Entry entry : told) {
            targets.addObject().put("uid", entry.uid()).put("endpoint", entry.endpoint())
                    .put("az", "a").put("model", "m").put("pod_group", 1).put("state", entry.state())
                    .put("capacity_hint", 1.0).put("boot_ms", entry.bootMs());
        }
        return message;
    }

    /** Ends all open watches with a reset. */
    void resetWatches() {
        listener.resetConnections();
    }

    /** Lets the watches that are open now say nothing any more, while their connections stay open. */
    void silenceWatches() {
        silencedAt = System.nanoTime();
    }

    /** Goes on at another address; the old one takes no new connections and ends open ones later. */
    void move(long oldEndsAfterMs) throws IOException {
        LoopbackServer old = listener;
        listener = listen();
        old.stopAccepting();
        LoopbackServer.startThread("discovery-old", () -> {
            StubUpstream.sleep(oldEndsAfterMs);
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
                watch(connection, from(request.startLine()));
            }
        }
    }

    private static long from(String startLine) {
        String value = startLine.replaceAll(".*from=(\\d+).*", "$1");
        return Long.parseLong(value);
    }

    private void watch(Socket connection, long from) throws IOException {
        long known = from;
        long openedAt = System.nanoTime();
        long nextHeartbeat = openedAt;
        while (!connection.isClosed() && openedAt > silencedAt) {
            Changes news = changesSince(known);
            if (!news.entries().isEmpty()) {
                known = news.rev();
                writeChunk(connection, message(false, news.rev(), news.entries()) + "\n");
            } else if (System.nanoTime() >= nextHeartbeat) {
                writeChunk(connection, "\n");
                nextHeartbeat = System.nanoTime() + HEARTBEAT_MS * 1_000_000;
            }
            StubUpstream.sleep(POLL_MS);
        }
        // Silenced: the connection stays open until the other side ends it.
        while (connection.getInputStream().read() >= 0) {
            StubUpstream.sleep(POLL_MS);
        }
    }

    private synchronized Changes changesSince(long known) {
        return new Changes(rev, new ArrayList<>(changes.tailMap(known, false).values()));
    }

    private static void writeChunk(Socket connection, String text) throws IOException {
        write(connection, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
