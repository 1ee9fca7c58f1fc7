package pondridge.sidecar;

import java.io.IOException;

/** Repeats what may fail on this machine for a moment; never on the event loop, since it waits. */
final class IoRetry {
    private static final long PAUSE_MS = 50;

    /** What is to be done. */
    interface Attempt<T> {
        T run() throws IOException;
    }

    private IoRetry() { }

    /**
     * Runs an attempt until it does not fail with an IOException, for a limited time.
     *
     * @throws IOException that of the last attempt
     */
    static <T> T whileInputFails(long limitMs, Attempt<T> attempt) throws IOException {
        long giveUpAt = System.nanoTime() + limitMs * 1_000_000;
        while (true) {
            try {
                return attempt.run();
            } catch (IOException e) {
                if (System.nanoTime() >= giveUpAt) {
                    throw e;
                }
                pause();
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
