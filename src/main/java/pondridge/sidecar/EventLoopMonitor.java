package pondridge.sidecar;

import io.netty.channel.IoEvent;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandle;
import java.io.IOException;
import java.nio.channels.SelectableChannel;

/**
 * Measures for how long received bytes may have been unread because the event loop was busy. A client's
 * deadline runs from the time at which it sent the request, not from the time at which the sidecar read it.
 * The monitor wraps the loop's I/O handler to see when it polls the sockets; one call of
 * {@link IoHandler#run} is a poll. Used on the event loop only.
 */
final class EventLoopMonitor {
    /** If the first event comes later than this after a poll's start, the selector has waited for it. */
    private static final long MIN_SELECT_WAIT_NANOS = 1_000_000;

    private long pollStartedAt;
    /**
     * Time of the current poll's first event, or of its end if it had none; before that, still the value of
     * the previous poll.
     */
    private long selectReturnedAt;
    /** Value of {@link #selectReturnedAt} at the end of the previous poll; 0 in the first poll. */
    private long previousSelectReturnedAt;
    /** Whether the current poll has had an event. */
    private boolean eventSeen;

    /** Returns a factory whose I/O handlers report their polls to this monitor. */
    IoHandlerFactory wrap(IoHandlerFactory factory) {
        return executor -> new MonitoredHandler(factory.newHandler(executor));
    }

    private void pollStarted(long now) {
        pollStartedAt = now;
        previousSelectReturnedAt = selectReturnedAt;
        eventSeen = false;
    }

    private void eventReceived() {
        if (!eventSeen) {
            eventSeen = true;
            selectReturnedAt = System.nanoTime();
        }
    }

    private void pollEnded(long now) {
        if (!eventSeen) {
            selectReturnedAt = now;
        }
    }

    /**
     * Returns for how many nanoseconds at most the bytes that are read now have been unread. If the selector
     * waited in this poll, no socket had data before it returned, and only the time since then counts.
     * Otherwise, the bytes may have arrived at any time since the selector returned in the previous poll.
     */
    long maxUnreadNanos(long now) {
        boolean waited = selectReturnedAt - pollStartedAt > MIN_SELECT_WAIT_NANOS
                || previousSelectReturnedAt == 0;
        return now - (waited ? selectReturnedAt : previousSelectReturnedAt);
    }

    /** Passes the events of one channel on, after reporting them to the monitor. */
    private final class MonitoredHandle implements NioIoHandle {
        private final NioIoHandle delegate;

        MonitoredHandle(NioIoHandle delegate) {
            this.delegate = delegate;
        }

        @Override
        public SelectableChannel selectableChannel() {
            return delegate.selectableChannel();
        }

        @Override
        public void handle(IoRegistration registration, IoEvent event) {
            eventReceived();
            delegate.handle(registration, event);
        }

        @Override
        public void registered() {
            delegate.registered();
        }

        @Override
        public void unregistered() {
            delegate.unregistered();
        }

        @Override
        public void close() throws IOException {
            try {
                delegate.close();
            } catch (Exception e) {
                throw new IOException(e);
            }
        }
    }

    /** Passes all calls on to the loop's I/O handler, and reports its polls to the monitor. */
    private final class MonitoredHandler implements IoHandler {
        private final IoHandler delegate;

        MonitoredHandler(IoHandler delegate) {
            this.delegate = delegate;
        }

        @Override
        public void initialize() {
            delegate.initialize();
        }

        @Override
        public int run(IoHandlerContext context) {
            pollStarted(System.nanoTime());
            try {
                return delegate.run(context);
            } finally {
                pollEnded(System.nanoTime());
            }
        }

        @Override
        public void prepareToDestroy() {
            delegate.prepareToDestroy();
        }

        @Override
        public void destroy() {
            delegate.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            boolean isNioHandle = handle instanceof NioIoHandle;
            return delegate.register(isNioHandle ? new MonitoredHandle((NioIoHandle) handle) : handle);
        }

        @Override
        public void wakeup() {
            delegate.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return delegate.isCompatible(type);
        }
    }
}
