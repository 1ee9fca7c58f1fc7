package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class EventLoopsTest {
    private static final long RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(600);
    private static final long MAX_UNPOLLED_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** A client's queued requests, each of which begins the next, kept all sockets unread for a second. */
    @Test
    void socketsWereNotPolledWhileTasksAddedTasks() throws Exception {
        EventLoopMonitor monitor = new EventLoopMonitor();
        EventLoop loop = EventLoops.create(monitor);
        AtomicLong longestNanos = new AtomicLong();
        long endAt = System.nanoTime() + RUN_NANOS;
        Runnable task = new Runnable() {
            @Override
            public void run() {
                long now = System.nanoTime();
                longestNanos.accumulateAndGet(monitor.maxUnreadNanos(now), Math::max);
                if (now < endAt) {
                    loop.execute(this);
                }
            }
        };
        loop.submit(() -> { }).sync();
        loop.submit(task).sync();
        Thread.sleep(TimeUnit.NANOSECONDS.toMillis(RUN_NANOS));
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        assertTrue(longestNanos.get() < MAX_UNPOLLED_NANOS,
                "sockets unread for " + longestNanos.get() / 1_000_000 + " ms");
    }
}
