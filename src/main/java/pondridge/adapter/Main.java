package pondridge.adapter;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * Entry point of the adapter to the simulator: {@code java -jar pondridge.jar adapter} reads batches of
 * events from standard input and writes the balancers' actions to standard output.
 */
public final class Main {
    private static final int HEADER_BYTES = 16;

    private Main() { }

    /**
     * Runs the adapter until the end of its input. Malformed input, an invalid setting or an I/O error ends
     * the process with a message on standard error and exit status 1; wrong arguments end it with the usage
     * line and exit status 2.
     */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("usage: java -jar pondridge.jar adapter");
            System.exit(2);
        }
        try {
            run(new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16),
                    new FileOutputStream(FileDescriptor.out));
        } catch (WireException | IllegalArgumentException | IOException e) {
            System.err.println("pondridge: " + e.getMessage());
            System.exit(1);
        }
    }

    /**
     * Reads frames until the input ends between two of them, and writes one reply frame for each.
     *
     * <p>The header of an input frame is little-endian: 8 bytes of time in nanoseconds, 4 bytes of frame
     * length (including the header) and 4 bytes of record count.
     */
    static void run(InputStream in, OutputStream out) throws IOException {
        ReplyFrame replyFrame = new ReplyFrame();
        BatchDispatcher dispatcher = new BatchDispatcher(replyFrame);
        byte[] header = new byte[HEADER_BYTES];
        byte[] body = new byte[1 << 16];
        for (long frame = 0;; frame++) {
            int bytesRead = in.readNBytes(header, 0, HEADER_BYTES);
            if (bytesRead == 0) {
                return;
            }
            if (bytesRead < HEADER_BYTES) {
                throw new WireException("frame " + frame + ": header cut short after " + bytesRead
                        + " bytes");
            }
            ByteBuffer headerFields = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
            long now = headerFields.getLong();
            long frameLength = headerFields.getInt() & 0xffffffffL;
            long recordCount = headerFields.getInt() & 0xffffffffL;
            if (now < 0 || frameLength < HEADER_BYTES || frameLength > Integer.MAX_VALUE - 64) {
                throw new WireException("frame " + frame + ": clock or length out of range");
            }
            int bodyLength = (int) frameLength - HEADER_BYTES;
            if (body.length < bodyLength) {
                body = new byte[bodyLength + bodyLength / 2];
            }
            bytesRead = in.readNBytes(body, 0, bodyLength);
            if (bytesRead < bodyLength) {
                throw new WireException("frame " + frame + ": states " + frameLength + " bytes, ends after "
                        + (bytesRead + HEADER_BYTES));
            }
            try {
                dispatcher.dispatchBatch(now, recordCount, new FrameReader(body, bodyLength));
            } catch (WireException | IllegalArgumentException e) {
                throw new WireException("frame " + frame + ": " + e.getMessage());
            }
            replyFrame.writeTo(out);
        }
    }
}
