package pondridge.sidecar;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Waits for what must happen sooner or later, without a guess at how fast the machine is. */
final class Await {
    private static final long POLL_INTERVAL_MS = 5;

    private Await() { }

    /** Checks a condition at intervals until it holds; fails the test if it does not within the timeout. */
    static void until(Callable<Boolean> condition, Supplier<String> message) throws Exception {
        long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeUpstream.TIMEOUT_S);
        while (!condition.call()) {
            if (System.nanoTime() >= giveUpAt) {
                throw new AssertionError(message.get());
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    /** Sleeps, and ends early when the thread is interrupted. */
    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
