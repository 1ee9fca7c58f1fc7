package pondridge.testbed;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/**
 * Records when the first byte of a message is read. It lies below a buffered stream, so that the time is that
 * of the read from the socket.
 */
final class ArrivalInputStream extends FilterInputStream {
    private long firstByteAt;

    ArrivalInputStream(InputStream in) {
        super(in);
    }

    /** Forgets the recorded time, so that the next byte counts as the first one of a message. */
    void clearFirstByte() {
        firstByteAt = 0;
    }

    /** Returns a time of {@link System#nanoTime}, or 0 if nothing has been read since the last clear. */
    long firstByteAt() {
        return firstByteAt;
    }

    @Override
    public int read() throws IOException {
        int next = super.read();
        recordArrival(next);
        return next;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
        int count = super.read(bytes, offset, length);
        recordArrival(count);
        return count;
    }

    private void recordArrival(int count) {
        if (count >= 0 && firstByteAt == 0) {
            firstByteAt = System.nanoTime();
        }
    }
}
