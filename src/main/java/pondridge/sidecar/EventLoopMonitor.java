package pondridge.sidecar;

import io.netty.channel.EventLoop;
import io.netty.channel.IoEvent;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandle;
import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.util.concurrent.TimeUnit;

/**
 * Measures for how long received bytes may have been unread because the event loop was busy, or because the
 * process was stopped. A client's deadline runs from the time at which it sent the request, not from the
 * time at which the sidecar read it. The monitor wraps the loop's I/O handler to see when it polls the
 * sockets; one call of {@link IoHandler#run} is a poll. A heartbeat limits how long the selector waits: a
 * longer wait shows that the whole process was stopped meanwhile. Used on the event loop only.
 */
final class EventLoopMonitor {
    /** If the first event comes later than this after a poll's start, the selector has waited for it. */
    private static final long MIN_SELECT_WAIT_NANOS = 1_000_000;
    private static final long HEARTBEAT_INTERVAL_MS = 25;
    /**
     * With the heartbeat, the selector returns at least this often, unless the loop was busy or the process
     * was stopped.
     */
    private static final long MAX_RETURN_INTERVAL_NANOS =
            TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_INTERVAL_MS + 5);

    private long pollStartedAt;
    /**
     * Time of the current poll's first event, or of its end if it had none and the process was not stopped
     * meanwhile; before that, still the value of the previous poll.
     */
    private long selectReturnedAt;
    /** Value of {@link #selectReturnedAt} at the end of the previous poll; 0 in the first poll. */
    private long previousSelectReturnedAt;
    /** Whether the current poll has had an event. */
    private boolean eventSeen;

    /** Begins the heartbeat on the loop whose I/O handler this monitor wraps. */
    void startHeartbeat(EventLoop loop) {
        loop.scheduleWithFixedDelay(() -> { }, 0, HEARTBEAT_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

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

    /**
     * A selector that is interrupted by the signal which continues the process may return without a look at
     * the sockets. A poll without events that took too long is therefore left out.
     */
    private void pollEnded(long now) {
        if (!eventSeen && now - pollStartedAt <= MAX_RETURN_INTERVAL_NANOS) {
            selectReturnedAt = now;
        }
    }

    /**
     * Returns for how many nanoseconds at most the bytes that are read now have been unread. If the selector
     * waited in this poll, no socket had data before it returned, and only the time since then counts.
     * Otherwise, or if the process was stopped while the selector waited, the bytes may have arrived at any
     * time since the selector returned in the previous poll.
     */
    long maxUnreadNanos(long now) {
        boolean firstPoll = previousSelectReturnedAt == 0;
        boolean waited = selectReturnedAt - pollStartedAt > MIN_SELECT_WAIT_NANOS;
        boolean stalled = selectReturnedAt - previousSelectReturnedAt > MAX_RETURN_INTERVAL_NANOS;
        return now - (firstPoll || waited && !stalled ? selectReturnedAt : previousSelectReturnedAt);
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
