package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Writes log lines to outputs that block or fail; neither may stop the event loop or lose later lines. */
class AsyncLogStreamTest {
    private static final int LINE_COUNT = 10_000;

    /** A direct write to a full pipe that nobody reads would block the event loop. */
    @Test
    void dropsLinesInsteadOfBlockingWhenTheLogIsNotRead() throws Exception {
        CountDownLatch unblock = new CountDownLatch(1);
        AsyncLogStream log = new AsyncLogStream(new OutputStream() {
            @Override
            public void write(int next) throws IOException {
                try {
                    unblock.await();
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        });
        PrintStream stream = new PrintStream(log, true, StandardCharsets.UTF_8);
        for (int i = 0; i < LINE_COUNT; i++) {
            stream.println("a line that is queued as long as the queue has room for more");
        }
        assertTrue(log.lostLines() > 0 && log.lostLines() < LINE_COUNT, log.lostLines() + " lost");
        unblock.countDown();
    }

    @Test
    void aFailedWriteLosesOnlyItsLine() {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        AsyncLogStream log = new AsyncLogStream(new OutputStream() {
            private boolean failed;

            @Override
            public void write(int next) {
                throw new UnsupportedOperationException();
            }

            @Override
            public void write(byte[] bytes) throws IOException {
                if (!failed) {
                    failed = true;
                    throw new IOException("No space left on device");
                }
                written.write(bytes);
            }
        });
        PrintStream stream = new PrintStream(log, true, StandardCharsets.UTF_8);
        stream.println("first");
        stream.println("second");
        log.awaitWritten(FakeUpstream.TIMEOUT_S * 1_000);
        assertEquals("second\n", written.toString(StandardCharsets.UTF_8));
        assertEquals(1, log.lostLines());
    }
}
