package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Checks when a starting sidecar becomes ready, on a real event loop. */
class ReadinessTest {
    /** A restarted sidecar has to be ready within this time. */
    private static final long TARGET_MS = 6_000;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Boolean> reports = new LinkedBlockingQueue<>();

    @AfterEach
    void stopEventLoop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private Readiness create() throws Exception {
        return loop.submit(() -> new Readiness(loop, reports::add)).get();
    }

    /** A sidecar that started during an outage of discovery was ready before it knew who drains. */
    @Test
    void aSidecarWasReadyBeforeItHeardFromDiscovery() throws Exception {
        Readiness readiness = create();
        loop.submit(readiness::warmedUp).sync();
        assertTrue(reports.isEmpty(), "warmed up only");
        loop.submit(readiness::listReceived).sync();
        assertEquals(true, FakeUpstream.next(reports));
    }

    /** Discovery may be away for longer than a sidecar may take to become ready. */
    @Test
    void becomesReadyInTimeWithoutDiscovery() throws Exception {
        long startedAt = System.nanoTime();
        Readiness readiness = create();
        loop.submit(readiness::warmedUp).sync();
        assertEquals(false, FakeUpstream.next(reports));
        long elapsedMs = (System.nanoTime() - startedAt) / 1_000_000;
        assertTrue(elapsedMs < TARGET_MS, "ready after " + elapsedMs + " ms");
        loop.submit(readiness::listReceived).sync();
        assertTrue(reports.isEmpty(), "reported once");
    }

    /** A list that comes first does not make a sidecar ready that is not warmed up. */
    @Test
    void aListAloneIsNotEnough() throws Exception {
        Readiness readiness = create();
        loop.submit(readiness::listReceived).sync();
        assertTrue(reports.isEmpty(), "not warmed up");
        loop.submit(readiness::warmedUp).sync();
        assertEquals(true, FakeUpstream.next(reports));
    }
}
