package pondridge.sidecar;

import java.io.ByteArrayOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stream for standard error that never blocks its callers: complete lines are queued and written by a
 * separate thread. If the reader of the log or the disk can't keep up, lines are dropped and counted. A
 * failed write loses only its line. May be used on any thread.
 */
final class AsyncLogStream extends OutputStream {
    private static final int MAX_QUEUED_BYTES = 256 * 1024;
    /** The rest of a longer line is dropped. */
    private static final int MAX_LINE_BYTES = 4 * 1024;
    private static final int POLL_INTERVAL_MS = 2;

    private final OutputStream target;
    private final LinkedBlockingQueue<byte[]> queuedLines = new LinkedBlockingQueue<>();
    /** Size of the lines that are queued or being written. */
    private final AtomicInteger pendingBytes = new AtomicInteger();
    private final AtomicLong lostLines = new AtomicLong();
    /** The line that is not complete yet. */
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /** Creates a stream that queues lines for a target, and starts the thread that writes them. */
    AsyncLogStream(OutputStream target) {
        this.target = target;
        Thread writer = new Thread(this::writeLines, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Replaces {@link System#err} by such a stream for the process's standard error. */
    static AsyncLogStream install() {
        AsyncLogStream log = new AsyncLogStream(new FileOutputStream(FileDescriptor.err));
        System.setErr(new PrintStream(log, true, StandardCharsets.UTF_8));
        return log;
    }

    /** Returns how many lines have been dropped or could not be written so far. */
    long lostLines() {
        return lostLines.get();
    }

    @Override
    public synchronized void write(int value) {
        if (value == '\n') {
            queueLine();
        } else if (line.size() < MAX_LINE_BYTES) {
            line.write(value);
        }
    }

    @Override
    public synchronized void write(byte[] bytes, int offset, int length) {
        for (int i = offset; i < offset + length; i++) {
            write(bytes[i]);
        }
    }

    private void queueLine() {
        line.write('\n');
        byte[] completeLine = line.toByteArray();
        line.reset();
        if (pendingBytes.addAndGet(completeLine.length) > MAX_QUEUED_BYTES) {
            pendingBytes.addAndGet(-completeLine.length);
            lostLines.incrementAndGet();
            return;
        }
        queuedLines.add(completeLine);
    }

    private void writeLines() {
        try {
            while (true) {
                byte[] nextLine = queuedLines.take();
                try {
                    target.write(nextLine);
                } catch (IOException | OutOfMemoryError e) {
                    lostLines.incrementAndGet();
                } finally {
                    pendingBytes.addAndGet(-nextLine.length);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Blocks until all queued lines are written, for a limited time; used before the process exits. */
    void awaitWritten(long timeoutMs) {
        long waitUntil = System.nanoTime() + timeoutMs * 1_000_000;
        try {
            while (pendingBytes.get() > 0 && System.nanoTime() < waitUntil) {
                Thread.sleep(POLL_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
