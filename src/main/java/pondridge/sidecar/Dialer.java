package pondridge.sidecar;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * Opens TCP connections, for upstreams and for discovery alike.
 *
 * <p>Everything happens on the event loop: Netty's own bootstrap reports a channel that could not be created
 * on another thread. What fails on this machine before the network is asked (no descriptor, port, buffer or
 * route) says nothing about the other side; it is tried again until the caller cancels.
 */
final class Dialer {
    private static final long FIRST_RETRY_MS = 2;
    private static final long LONGEST_RETRY_MS = 32;

    /** Learns the result of one dial: one of the two methods is called once, unless the dial is cancelled. */
    interface Listener {
        /** The connection is up and belongs to the listener, which adds its handlers at once. */
        void onConnected(Channel channel);

        /** The other side refused, could not be reached, or did not answer in time. */
        void onFailed(Throwable cause);
    }

    private final EventLoop loop;
    private final int timeoutMs;
    private long localFailures;

    /** A dialer whose connections fail if they are not up within a time-out. */
    Dialer(EventLoop loop, int timeoutMs) {
        this.loop = loop;
        this.timeoutMs = timeoutMs;
    }

    /** How often a dial has failed on this machine so far. */
    long localFailures() {
        return localFailures;
    }

    /** Begins to connect. */
    Dial dial(InetSocketAddress address, Listener listener) {
        Dial dial = new Dial(address, listener);
        dial.attempt();
        return dial;
    }

    /** One connection on its way. */
    final class Dial {
        private final InetSocketAddress address;
        private final Listener listener;
        private Channel channel;
        private Future<?> retry;
        private long retryMs = FIRST_RETRY_MS;
        private boolean over;

        private Dial(InetSocketAddress address, Listener listener) {
            this.address = address;
            this.listener = listener;
        }

        /** Whether the last try failed on this machine, and no later one has begun. */
        boolean failedLocally() {
            return retry != null;
        }

        /** Gives the dial up; the listener hears nothing more. */
        void cancel() {
            if (over) {
                return;
            }
            over = true;
            if (retry != null) {
                retry.cancel(false);
            }
            if (channel != null) {
                channel.close();
            }
        }

        private void attempt() {
            retry = null;
            try {
                channel = new RetryingSocketChannel();
            } catch (ChannelException e) {
                tryAgain(e);
                return;
            }
            channel.config().setOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs);
            channel.config().setOption(ChannelOption.TCP_NODELAY, true);
            ChannelFuture registered = loop.register(channel);
            ChannelFuture connected = registered.isDone() && !registered.isSuccess() ? registered
                    : channel.connect(address);
            boolean atOnce = connected.isDone();
            connected.addListener(done -> ended(done.cause(), atOnce));
        }

        private void ended(Throwable cause, boolean atOnce) {
            if (over) {
                return;
            }
            if (cause == null) {
                over = true;
                listener.onConnected(channel);
                return;
            }
            channel.close();
            // A refusal may come at once from a peer on this machine; it is the only such answer of a peer.
            if (atOnce && cause instanceof IOException && !(cause instanceof ConnectException)) {
                tryAgain(cause);
            } else {
                over = true;
                listener.onFailed(cause);
            }
        }

        private void tryAgain(Throwable cause) {
            localFailures++;
            if (Long.bitCount(localFailures) == 1) {
                System.err.println("dial: failed on this machine, " + localFailures + " times so far: "
                        + cause);
            }
            channel = null;
            retry = loop.schedule(this::attempt, retryMs, TimeUnit.MILLISECONDS);
            retryMs = Math.min(2 * retryMs, LONGEST_RETRY_MS);
        }
    }
}
