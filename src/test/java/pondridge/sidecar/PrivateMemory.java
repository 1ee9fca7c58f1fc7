package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Samples the private memory of a process, which pages of files that others may share do not count to. */
final class PrivateMemory implements AutoCloseable {
    private static final int KB_PER_MB = 1024;
    private static final int SAMPLE_INTERVAL_MS = 5;

    private final Path status;
    private final Thread sampler;
    private volatile long peakKb;

    PrivateMemory(long pid) {
        status = Path.of("/proc", Long.toString(pid), "status");
        sampler = FakeUpstream.startThread(this::sample);
    }

    private void sample() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                peakKb = Math.max(peakKb, readKb());
                Await.sleep(SAMPLE_INTERVAL_MS);
            }
        } catch (IOException e) {
            // The process has ended.
        }
    }

    private long readKb() throws IOException {
        return Files.readAllLines(status).stream().filter(line -> line.startsWith("RssAnon:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).sum();
    }

    /** Checks that the process has not used more than its limit. */
    void expectPeakWithin(long limitMb) {
        System.out.println("private memory under a limit of " + limitMb + " MB: at most "
                + peakKb / KB_PER_MB + " MB");
        assertTrue(peakKb <= limitMb * KB_PER_MB,
                "private memory " + peakKb + " KiB, limit " + limitMb + " MB");
    }

    @Override
    public void close() {
        sampler.interrupt();
    }
}
