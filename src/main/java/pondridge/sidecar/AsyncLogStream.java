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
 * Standard error whose writers never wait: lines are queued and written by a thread of their own. Where the
 * log's reader or disk can't keep up, lines are dropped and counted; a write that fails loses its line alone.
 */
final class AsyncLogStream extends OutputStream {
    private static final int MOST_QUEUED_BYTES = 256 * 1024;
    private static final int LONGEST_LINE_BYTES = 4 * 1024;
    private static final int POLL_MS = 2;

    private final OutputStream target;
    private final LinkedBlockingQueue<byte[]> lines = new LinkedBlockingQueue<>();
    private final AtomicInteger pendingBytes = new AtomicInteger();
    private final AtomicLong lost = new AtomicLong();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /** A stream that queues lines for a target. */
    AsyncLogStream(OutputStream target) {
        this.target = target;
        Thread writer = new Thread(this::writeLines, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Puts such a stream in the place of {@link System#err}. */
    static AsyncLogStream install() {
        AsyncLogStream log = new AsyncLogStream(new FileOutputStream(FileDescriptor.err));
        System.setErr(new PrintStream(log, true, StandardCharsets.UTF_8));
        return log;
    }

    /** Lines that were dropped or could not be written so far. */
    long lost() {
        return lost.get();
    }

    @Override
    public synchronized void write(int next) {
        if (next == '\n') {
            queue();
        } else if (line.size() < LONGEST_LINE_BYTES) {
            line.write(next);
        }
    }

    @Override
    public synchronized void write(byte[] bytes, int offset, int length) {
        for (int i = offset; i < offset + length; i++) {
            write(bytes[i]);
        }
    }

    private void queue() {
        line.write('\n');
        byte[] whole = line.toByteArray();
        line.reset();
        if (pendingBytes.addAndGet(whole.length) > MOST_QUEUED_BYTES) {
            pendingBytes.addAndGet(-whole.length);
            lost.incrementAndGet();
            return;
        }
        lines.add(whole);
    }

    private void writeLines() {
        try {
            while (true) {
                byte[] next = lines.take();
                try {
                    target.write(next);
                } catch (IOException e) {
                    lost.incrementAndGet();
                } finally {
                    pendingBytes.addAndGet(-next.length);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until all is written, for a limited time; for the end of the process. */
    void awaitWritten(long ms) {
        long giveUpAt = System.nanoTime() + ms * 1_000_000;
        try {
            while (pendingBytes.get() > 0 && System.nanoTime() < giveUpAt) {
                Thread.sleep(POLL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
