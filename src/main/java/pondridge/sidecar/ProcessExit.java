package pondridge.sidecar;

import io.netty.channel.EventLoop;
import java.util.function.IntConsumer;

/**
 * Ends the process. Its status is {@link #COMPLETE} only after a shutdown that was asked for and carried out:
 * a process whose event loop has ended serves nobody, and must not look like one that was stopped.
 */
final class ProcessExit {
    static final int COMPLETE = 0;
    /** The start failed, or the event loop has ended. */
    static final int FAILED = 1;
    static final int INVALID_CONFIGURATION = 2;

    private final IntConsumer halt;

    /**
     * @param halt ends the process with a status, without its shutdown hooks
     */
    ProcessExit(IntConsumer halt) {
        this.halt = halt;
    }

    /** Ends the process as failed, with one log line, as soon as the loop has ended. */
    void watch(EventLoop loop) {
        loop.terminationFuture().addListener(ended -> fail("the event loop has ended"));
    }

    /** Ends the process as failed, with one log line. May be called on any thread. */
    void fail(String message) {
        System.err.println("pondridge: " + message);
        halt.accept(FAILED);
    }

    /** Ends the process because its configuration can't be used, with one log line. */
    void rejectConfiguration(String message) {
        System.err.println("pondridge: configuration: " + message);
        halt.accept(INVALID_CONFIGURATION);
    }

    /**
     * Runs the graceful shutdown and ends the process; for the JVM's shutdown hook. The JVM also ends, and
     * calls its hooks, when the thread of the loop has ended by itself.
     */
    void shutDown(EventLoop loop, Runnable gracefulShutdown) {
        if (loop.isShuttingDown()) {
            fail("the event loop has ended");
            return;
        }
        try {
            gracefulShutdown.run();
        } catch (RuntimeException | Error e) {
            fail("shutdown: " + e);
            return;
        }
        halt.accept(COMPLETE);
    }
}
