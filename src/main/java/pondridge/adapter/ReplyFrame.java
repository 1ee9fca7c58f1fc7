package pondridge.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import pondridge.Balancer.Actions;
import pondridge.Balancer.FailureReason;

/**
 * Collects the actions of one batch as the records of a reply frame. The frame is written only when the whole
 * batch has been handled, so malformed input leaves no partial frame in the output.
 *
 * <p>The frame is little-endian. Its header consists of 4 bytes of record count and 4 bytes of frame length
 * (including the header). Each record begins with 1 byte of action code, 4 bytes for the length of the rest
 * and 2 bytes of sidecar number.
 */
final class ReplyFrame {
    /** The load report that is passed on for an event without one. */
    static final float[] EMPTY_LOAD_REPORT = {};
    private static final int HEADER_BYTES = 8;

    private byte[] bytes = new byte[1 << 16];
    private ByteBuffer buffer = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
    private int recordCount;

    ReplyFrame() {
        clear();
    }

    /** Returns the {@link Actions} for the balancer of one sidecar; each action adds a record. */
    Actions recordWriter(int sidecar) {
        return new RecordWriter(sidecar);
    }

    /** Drops all records and leaves space for the header. */
    void clear() {
        buffer.position(HEADER_BYTES);
        recordCount = 0;
    }

    /** Writes the frame and clears it for the next batch. */
    void writeTo(OutputStream out) throws IOException {
        buffer.putInt(0, recordCount);
        buffer.putInt(4, buffer.position());
        out.write(bytes, 0, buffer.position());
        out.flush();
        clear();
    }

    /** Begins a record with its header; {@code bodyBytes} includes the 2 bytes of sidecar number. */
    private void beginRecord(int actionCode, int bodyBytes, int sidecar) {
        if (buffer.remaining() < bodyBytes + 5) {
            int position = buffer.position();
            bytes = Arrays.copyOf(bytes, Math.max(bytes.length * 2, position + bodyBytes + 5));
            buffer = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN).position(position);
        }
        buffer.put((byte) actionCode).putInt(bodyBytes).putShort((short) sidecar);
        recordCount++;
    }

    /** Adds a record for each action of one balancer. The format has no field for the reason of a failure. */
    private final class RecordWriter implements Actions {
        private final int sidecar;

        RecordWriter(int sidecar) {
            this.sidecar = sidecar;
        }

        private void putUpstream(long id) {
            buffer.putInt((int) (id >>> 16)).putShort((short) id);
        }

        /**
         * Begins a record that ends with a 2-byte length and data of that length; {@code fixedBytes} counts
         * the bytes before them, which include the 2 bytes of sidecar number.
         */
        private void beginRecordWithData(int actionCode, int fixedBytes, byte[] data) {
            beginRecord(actionCode, fixedBytes + 2 + data.length, sidecar);
        }

        @Override
        public void send(long request, long upstream, long timeout) {
            beginRecord(1, 20, sidecar);
            buffer.putInt((int) request);
            putUpstream(upstream);
            buffer.putLong(timeout);
        }

        @Override
        public void refuse(long request, long retryAfter, FailureReason reason) {
            beginRecord(2, 14, sidecar);
            buffer.putInt((int) request).putLong(retryAfter);
        }

        @Override
        public void fail(long request, FailureReason reason) {
            beginRecord(3, 6, sidecar);
            buffer.putInt((int) request);
        }

        @Override
        public void cancel(long request, int attempt) {
            beginRecord(4, 7, sidecar);
            buffer.putInt((int) request).put((byte) attempt);
        }

        @Override
        public void setTimer(long token, long at) {
            beginRecord(5, 18, sidecar);
            buffer.putLong(token).putLong(at);
        }

        @Override
        public void probe(long upstream) {
            beginRecord(6, 8, sidecar);
            putUpstream(upstream);
        }

        @Override
        public void closeIdleConnections(long upstream) {
            beginRecord(7, 8, sidecar);
            putUpstream(upstream);
        }

        @Override
        public void sendToPeer(int peer, byte[] message) {
            beginRecordWithData(8, 4, message);
            buffer.putShort((short) peer).putShort((short) message.length).put(message);
        }

        @Override
        public void log(String line) {
            byte[] data = line.getBytes(StandardCharsets.UTF_8);
            beginRecordWithData(9, 2, data);
            buffer.putShort((short) data.length).put(data);
        }

        @Override
        public void subscribe(boolean on) {
            beginRecord(11, 3, sidecar);
            buffer.put((byte) (on ? 1 : 0));
        }

        @Override
        public void fetchList() {
            beginRecord(12, 2, sidecar);
        }
    }
}
