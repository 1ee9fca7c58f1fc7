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

class AsyncLogStreamTest {
    private static final int MANY = 10_000;

    /** A write to a log that nobody read stopped the event loop; lines are dropped and counted instead. */
    @Test
    void theLoopStoodStillWhenNobodyReadTheLog() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        AsyncLogStream log = new AsyncLogStream(new OutputStream() {
            @Override
            public void write(int next) throws IOException {
                try {
                    go.await();
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        });
        PrintStream err = new PrintStream(log, true, StandardCharsets.UTF_8);
        for (int i = 0; i < MANY; i++) {
            err.println("a line that takes its place in the queue until there is none");
        }
        assertTrue(log.lost() > 0 && log.lost() < MANY, log.lost() + " lost");
        go.countDown();
    }

    @Test
    void aFailedWriteLosesItsLineAlone() {
        ByteArrayOutputStream disk = new ByteArrayOutputStream();
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
                disk.write(bytes);
            }
        });
        PrintStream err = new PrintStream(log, true, StandardCharsets.UTF_8);
        err.println("first");
        err.println("second");
        log.awaitWritten(FakeUpstream.LIMIT_S * 1_000);
        assertEquals("second\n", disk.toString(StandardCharsets.UTF_8));
        assertEquals(1, log.lost());
    }
}
