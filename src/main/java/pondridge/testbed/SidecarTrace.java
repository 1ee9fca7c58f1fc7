package pondridge.testbed;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * What the preloaded library recorded inside one sidecar's process: when it wrote each request to an
 * upstream, and when it read the end of each client connection. All processes of one sidecar share the file.
 * Times are those of {@link System#nanoTime}, which on Linux reads the same monotonic clock as the library.
 */
final class SidecarTrace {
    private static final int CAPACITY = 1 << 15;
    private static final int HEADER_BYTES = 16;
    private static final int RECORD_BYTES = 128;
    private static final int COUNT_OFFSET = 8;
    private static final int KIND_OFFSET = 8;
    private static final int PORT_OFFSET = 12;
    private static final int ID_OFFSET = 16;
    private static final int REQUEST_SENT = 1;
    private static final int CONNECTION_ENDED = 2;

    /**
     * The first bytes of a request were written to an upstream.
     *
     * @param port the local port of the sidecar's connection
     */
    record SentRequest(String requestId, int port, long at) { }

    /**
     * The sidecar read the end of a client connection.
     *
     * @param port the client's port
     */
    record EndedConnection(int port, long at) { }

    /**
     * All that was recorded in one sidecar, in the order in which it was recorded.
     *
     * @param isComplete whether all events have been recorded; otherwise some were left out for lack of room
     */
    record Recording(int sidecar, List<SentRequest> sentRequests, List<EndedConnection> endedConnections,
            boolean isComplete) { }

    private final Path file;
    private final MappedByteBuffer records;

    /** Creates an empty trace. */
    SidecarTrace(Path file) throws IOException {
        this.file = file;
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ,
                StandardOpenOption.WRITE)) {
            records = channel.map(FileChannel.MapMode.READ_WRITE, 0,
                    HEADER_BYTES + (long) CAPACITY * RECORD_BYTES);
        }
        records.order(ByteOrder.nativeOrder());
        records.putLong(0, CAPACITY);
    }

    Path file() {
        return file;
    }

    /** Returns what has been recorded so far. */
    Recording recording(int sidecar) {
        List<SentRequest> sentRequests = new ArrayList<>();
        for (int record : recordsOfKind(REQUEST_SENT)) {
            sentRequests.add(new SentRequest(requestId(record), records.getInt(record + PORT_OFFSET),
                    records.getLong(record)));
        }
        List<EndedConnection> endedConnections = new ArrayList<>();
        for (int record : recordsOfKind(CONNECTION_ENDED)) {
            endedConnections.add(new EndedConnection(records.getInt(record + PORT_OFFSET),
                    records.getLong(record)));
        }
        return new Recording(sidecar, sentRequests, endedConnections,
                records.getLong(COUNT_OFFSET) <= CAPACITY);
    }

    /** The offsets of the records of one kind. */
    private List<Integer> recordsOfKind(int kind) {
        List<Integer> offsets = new ArrayList<>();
        int count = (int) Math.min(CAPACITY, records.getLong(COUNT_OFFSET));
        for (int i = 0; i < count; i++) {
            int offset = HEADER_BYTES + i * RECORD_BYTES;
            if (records.getInt(offset + KIND_OFFSET) == kind) {
                offsets.add(offset);
            }
        }
        return offsets;
    }

    private String requestId(int record) {
        byte[] bytes = new byte[RECORD_BYTES - ID_OFFSET];
        records.get(record + ID_OFFSET, bytes);
        int length = 0;
        while (length < bytes.length && bytes[length] != 0) {
            length++;
        }
        return new String(bytes, 0, length, StandardCharsets.ISO_8859_1);
    }
}
