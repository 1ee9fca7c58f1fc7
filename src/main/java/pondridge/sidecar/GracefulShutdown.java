package pondridge.sidecar;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The orderly end at SIGTERM: what is held is answered, connections end with their last answers, and the
 * process ends once nothing is left, at the latest before the earliest SIGKILL.
 */
final class GracefulShutdown {
    /** New connections go on coming for up to 0.4 s after SIGTERM (protocol page). */
    private static final long ACCEPT_MS = 500;
    /** The platform counts longer deadlines as this. */
    private static final long LONGEST_COUNTED_MS = 3_000;
    /** SIGKILL comes no sooner than the longest deadline and so much more. */
    private static final long KILL_SPARE_MS = 700;
    /** Before SIGKILL all that is held is answered at once. */
    private static final long FINISH_BEFORE_KILL_MS = 250;
    private static final long EXIT_BEFORE_KILL_MS = 100;
    private static final long POLL_MS = 20;

    private final EventLoop loop;
    private final RequestDispatcher dispatcher;
    private final Frontend frontend;
    private final long killAfterMs;
    private final CountDownLatch done = new CountDownLatch(1);

    /** An end that is yet to come; {@code longestDeadlineMs} is that of all classes. */
    GracefulShutdown(EventLoop loop, RequestDispatcher dispatcher, Frontend frontend,
            long longestDeadlineMs) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.frontend = frontend;
        this.killAfterMs = Math.min(longestDeadlineMs, LONGEST_COUNTED_MS) + KILL_SPARE_MS;
    }

    /** Ends everything in order; called on another thread than the loop's, which it waits for. */
    void run() {
        long startedAt = System.nanoTime();
        try {
            loop.execute(this::begin);
        } catch (InternalError e) {
            // The loop could not be woken. The task is in its queue, and its timers wake it soon.
            System.err.println("shutdown: " + e);
        }
        long elapsedMs = (System.nanoTime() - startedAt) / 1_000_000;
        try {
            done.await(killAfterMs - EXIT_BEFORE_KILL_MS - elapsedMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void begin() {
        System.err.println("shutdown: draining for up to " + (killAfterMs - EXIT_BEFORE_KILL_MS) + " ms");
        frontend.drain();
        // The listening goes on to the end: what waited to be accepted when it stopped would be reset.
        loop.schedule(frontend::close, ACCEPT_MS, TimeUnit.MILLISECONDS);
        loop.schedule(frontend::finish, killAfterMs - FINISH_BEFORE_KILL_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(() -> {
            if (frontend.empty() && dispatcher.allRequestsFinished()) {
                // What still gets in before the process has ended is refused, and not begun.
                frontend.finish();
                done.countDown();
            }
        }, ACCEPT_MS, POLL_MS, TimeUnit.MILLISECONDS);
    }
}
