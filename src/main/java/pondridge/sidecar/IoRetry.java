package pondridge.sidecar;

import java.io.IOException;

/**
 * Retries I/O that may fail because of a temporary error of this machine. It blocks between two runs, and so
 * must not be used on the event loop.
 */
final class IoRetry {
    private static final long RETRY_DELAY_MS = 50;

    /** An operation that may be run more than once. */
    interface IoAction<T> {
        T run() throws IOException;
    }

    private IoRetry() { }

    /**
     * Runs an action until it does not throw an IOException, for a limited time.
     *
     * @throws IOException that of the last run
     */
    static <T> T retryOnIoException(long timeoutMs, IoAction<T> action) throws IOException {
        long retryUntil = System.nanoTime() + timeoutMs * 1_000_000;
        while (true) {
            try {
                return action.run();
            } catch (IOException e) {
                if (System.nanoTime() >= retryUntil) {
                    throw e;
                }
                sleepBeforeRetry();
            }
        }
    }

    private static void sleepBeforeRetry() {
        try {
            Thread.sleep(RETRY_DELAY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
