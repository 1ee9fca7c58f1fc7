package pondridge.sidecar;

import io.netty.channel.EventLoop;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.RejectedExecutionHandlers;
import java.util.concurrent.Executor;

/** Creates the sidecar's event loop. */
final class EventLoops {
    /**
     * How long the loop runs tasks before it polls its sockets again. With Netty's default of one second, the
     * tasks of a client that has many requests queued, each of which adds the next, hold up all others.
     */
    private static final long MAX_TASK_MS = 2;

    private EventLoops() { }

    /** Creates a loop that reports its polls to a monitor, and begins the monitor's heartbeat on it. */
    static EventLoop create(EventLoopMonitor monitor) {
        EventLoop loop = new OneLoop(monitor.wrap(NioIoHandler.newFactory())).next();
        monitor.startHeartbeat(loop);
        return loop;
    }

    /** A group of one loop. */
    private static final class OneLoop extends MultiThreadIoEventLoopGroup {
        OneLoop(IoHandlerFactory ioHandlerFactory) {
            super(1, ioHandlerFactory);
        }

        @Override
        protected IoEventLoop newChild(Executor executor, IoHandlerFactory ioHandlerFactory,
                Object... arguments) {
            return new SingleThreadIoEventLoop(this, executor, ioHandlerFactory, Integer.MAX_VALUE,
                    RejectedExecutionHandlers.reject(), MAX_TASK_MS);
        }
    }
}
