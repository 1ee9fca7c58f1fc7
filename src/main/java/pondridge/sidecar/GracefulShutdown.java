package pondridge.sidecar;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Shuts the sidecar down at SIGTERM. Open requests get their final responses, each connection is closed after
 * its last one, and the shutdown is complete once no connection and no request is left, at the latest shortly
 * before the earliest possible SIGKILL. The JVM's shutdown hook calls {@link #run}; all else runs on the
 * event loop.
 */
final class GracefulShutdown {
    /** Clients open new connections for up to 0.4 s after SIGTERM. */
    private static final long NEW_CONNECTIONS_MS = 500;
    /** When the platform computes the time of SIGKILL, it counts a longer deadline as this long. */
    private static final long MAX_COUNTED_DEADLINE_MS = 3_000;
    /** SIGKILL follows SIGTERM no sooner than after the longest deadline plus this time. */
    private static final long KILL_GRACE_MS = 700;
    /** Time before SIGKILL at which all requests still open are refused or failed. */
    private static final long FINISH_BEFORE_KILL_MS = 250;
    /** Time before SIGKILL at which {@link #run} returns even if requests are still open. */
    private static final long EXIT_BEFORE_KILL_MS = 100;
    private static final long POLL_INTERVAL_MS = 20;

    private final EventLoop loop;
    private final RequestDispatcher dispatcher;
    private final Frontend frontend;
    private final long killAfterMs;
    private final CountDownLatch drained = new CountDownLatch(1);

    /**
     * Creates a shutdown that {@link #run} begins.
     *
     * @param maxDeadlineMs the longest deadline of all request classes
     */
    GracefulShutdown(EventLoop loop, RequestDispatcher dispatcher, Frontend frontend,
            long maxDeadlineMs) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.frontend = frontend;
        this.killAfterMs = Math.min(maxDeadlineMs, MAX_COUNTED_DEADLINE_MS) + KILL_GRACE_MS;
    }

    /** Begins the shutdown and waits for its end; must not be called on the event loop. */
    void run() {
        long startedAt = System.nanoTime();
        try {
            loop.execute(this::startDraining);
        } catch (InternalError e) {
            // The loop could not be woken up. The task is queued and runs when a timer of the loop is due.
            System.err.println("shutdown: " + e);
        }
        long elapsedMs = (System.nanoTime() - startedAt) / 1_000_000;
        try {
            drained.await(killAfterMs - EXIT_BEFORE_KILL_MS - elapsedMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void startDraining() {
        System.err.println("shutdown: draining for up to " + (killAfterMs - EXIT_BEFORE_KILL_MS) + " ms");
        frontend.drain();
        // Listening continues to the end: closing the socket would reset connections not yet accepted.
        loop.schedule(frontend::closeIdleConnections, NEW_CONNECTIONS_MS, TimeUnit.MILLISECONDS);
        loop.schedule(frontend::finish, killAfterMs - FINISH_BEFORE_KILL_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(() -> {
            if (frontend.hasNoConnections() && dispatcher.allRequestsFinished()) {
                // Requests that arrive between now and the exit are refused without being sent.
                frontend.finish();
                drained.countDown();
            }
        }, NEW_CONNECTIONS_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
}
