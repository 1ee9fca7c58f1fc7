package pondridge.sidecar;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/** Collects the body of one message in an array that grows with what has been received. */
final class BodyBuffer {
    /** Bodies have at most 64 KiB, of requests and of responses. */
    static final int MAX_BODY_BYTES = 1 << 16;
    private static final int MIN_CAPACITY = 512;
    private static final byte[] EMPTY = {};

    private final int expectedLength;
    private byte[] bytes = EMPTY;
    private int length;

    /**
     * Creates an empty buffer.
     *
     * @param expectedLength the length of the whole body; {@link #MAX_BODY_BYTES} if that is not known
     */
    BodyBuffer(int expectedLength) {
        this.expectedLength = expectedLength;
    }

    int length() {
        return length;
    }

    /** How many bytes the buffer takes. */
    int capacity() {
        return bytes.length;
    }

    /** How many bytes the buffer takes once some more bytes have been appended. */
    int capacityAfter(int count) {
        int needed = length + count;
        if (needed <= bytes.length) {
            return bytes.length;
        }
        int doubled = Math.max(MIN_CAPACITY, 2 * bytes.length);
        return Math.max(needed, Math.min(doubled, expectedLength));
    }

    /** Appends all readable bytes of a buffer. */
    void append(ByteBuf content) {
        int count = content.readableBytes();
        int capacity = capacityAfter(count);
        if (capacity > bytes.length) {
            bytes = Arrays.copyOf(bytes, capacity);
        }
        content.readBytes(bytes, length, count);
        length += count;
    }

    /** The collected bytes; the buffer must not be used any more. */
    byte[] toArray() {
        return length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
    }
}
