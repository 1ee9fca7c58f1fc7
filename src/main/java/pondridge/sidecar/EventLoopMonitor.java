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
 * Tells for how long bytes may have lain unread because the event loop was busy: a client's time runs from
 * its sending, not from the reading. Wraps the loop's selector to see when a turn begins and ends.
 */
final class EventLoopMonitor {
    /** A turn that took longer than this to its first event has waited for it in the selector. */
    private static final long BLOCKED_NS = 1_000_000;

    private long turnBeganAt;
    private long polledAt;
    private long previouslyPolledAt;
    private boolean eventSeen;

    /** A factory whose selectors report their turns here. */
    IoHandlerFactory watching(IoHandlerFactory factory) {
        return executor -> new WatchedHandler(factory.newHandler(executor));
    }

    private void turnBegins(long now) {
        turnBeganAt = now;
        previouslyPolledAt = polledAt;
        eventSeen = false;
    }

    private void event() {
        if (!eventSeen) {
            eventSeen = true;
            polledAt = System.nanoTime();
        }
    }

    private void turnEnds(long now) {
        if (!eventSeen) {
            polledAt = now;
        }
    }

    /**
     * How many nanoseconds what is read now may have lain unread. While the loop waited in its selector
     * nothing was there, so that only this turn's own work counts then.
     */
    long unread(long now) {
        boolean blocked = polledAt - turnBeganAt > BLOCKED_NS || previouslyPolledAt == 0;
        return now - (blocked ? polledAt : previouslyPolledAt);
    }

    private final class WatchedHandle implements NioIoHandle {
        private final NioIoHandle watched;

        WatchedHandle(NioIoHandle watched) {
            this.watched = watched;
        }

        @Override
        public SelectableChannel selectableChannel() {
            return watched.selectableChannel();
        }

        @Override
        public void handle(IoRegistration registration, IoEvent ready) {
            event();
            watched.handle(registration, ready);
        }

        @Override
        public void registered() {
            watched.registered();
        }

        @Override
        public void unregistered() {
            watched.unregistered();
        }

        @Override
        public void close() throws IOException {
            try {
                watched.close();
            } catch (Exception e) {
                throw new IOException(e);
            }
        }
    }

    private final class WatchedHandler implements IoHandler {
        private final IoHandler watched;

        WatchedHandler(IoHandler watched) {
            this.watched = watched;
        }

        @Override
        public void initialize() {
            watched.initialize();
        }

        @Override
        public int run(IoHandlerContext context) {
            turnBegins(System.nanoTime());
            try {
                return watched.run(context);
            } finally {
                turnEnds(System.nanoTime());
            }
        }

        @Override
        public void prepareToDestroy() {
            watched.prepareToDestroy();
        }

        @Override
        public void destroy() {
            watched.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            boolean watchable = handle instanceof NioIoHandle;
            return watched.register(watchable ? new WatchedHandle((NioIoHandle) handle) : handle);
        }

        @Override
        public void wakeup() {
            watched.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return watched.isCompatible(type);
        }
    }
}
