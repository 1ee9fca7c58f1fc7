package pondridge.sidecar;

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
 * Opens TCP connections to upstreams and to the discovery service.
 *
 * <p>Used on the event loop, where the listeners are called, too. Netty's bootstrap is not used because it
 * reports on another thread that a channel could not be created. An error on this machine before a packet is
 * sent (no file descriptor, port, buffer or route) is no failure of the other side; connecting is retried
 * until it succeeds, the other side fails, or the dial is cancelled.
 */
final class Dialer {
    private static final long MIN_RETRY_DELAY_MS = 2;
    private static final long MAX_RETRY_DELAY_MS = 32;

    /** Is notified of the result of a dial: one method is called, once, unless the dial is cancelled. */
    interface Listener {
        /** The connection is open and belongs to the listener, which adds its handlers in this call. */
        void onConnected(RetryingSocketChannel channel);

        /** The other side refused the connection, could not be reached, or did not respond in time. */
        void onFailed(Throwable cause);
    }

    private final EventLoop loop;
    private final int timeoutMs;
    private long localFailures;

    /** Creates a dialer whose dials fail if the connection is not open within the timeout. */
    Dialer(EventLoop loop, int timeoutMs) {
        this.loop = loop;
        this.timeoutMs = timeoutMs;
    }

    /** The number of errors on this machine so far. */
    long localFailures() {
        return localFailures;
    }

    /** Starts to connect. The listener may be called before this method returns. */
    Dial dial(InetSocketAddress address, Listener listener) {
        Dial dial = new Dial(address, listener);
        dial.connect();
        return dial;
    }

    /** A connection being opened. */
    final class Dial {
        private final InetSocketAddress address;
        private final Listener listener;
        private RetryingSocketChannel channel;
        private Future<?> retry;
        private long retryDelayMs = MIN_RETRY_DELAY_MS;
        private boolean finished;

        private Dial(InetSocketAddress address, Listener listener) {
            this.address = address;
            this.listener = listener;
        }

        /** Whether connecting failed on this machine, and the retry has not started. */
        boolean failedLocally() {
            return retry != null;
        }

        /** Ends the dial; the listener is not called any more. */
        void cancel() {
            if (finished) {
                return;
            }
            finished = true;
            if (retry != null) {
                retry.cancel(false);
            }
            if (channel != null) {
                channel.close();
            }
        }

        private void connect() {
            retry = null;
            try {
                channel = new RetryingSocketChannel();
            } catch (ChannelException e) {
                scheduleRetry(e);
                return;
            }
            channel.config().setOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs);
            channel.config().setOption(ChannelOption.TCP_NODELAY, true);
            ChannelFuture registerFuture = loop.register(channel);
            ChannelFuture connectFuture = registerFuture.isDone() && !registerFuture.isSuccess()
                    ? registerFuture : channel.connect(address);
            boolean immediate = connectFuture.isDone();
            connectFuture.addListener(future -> onConnectDone(future.cause(), immediate));
        }

        private void onConnectDone(Throwable cause, boolean immediate) {
            if (finished) {
                return;
            }
            if (cause == null) {
                finished = true;
                listener.onConnected(channel);
                return;
            }
            channel.close();
            // An error known when connect() returns is one of this machine. Only a refusal can come from the
            // other side as quickly, if that runs on this machine, too.
            if (immediate && cause instanceof IOException && !(cause instanceof ConnectException)) {
                scheduleRetry(cause);
            } else {
                finished = true;
                listener.onFailed(cause);
            }
        }

        private void scheduleRetry(Throwable cause) {
            localFailures++;
            if (Long.bitCount(localFailures) == 1) {
                System.err.println("dial: failed on this machine, " + localFailures + " times so far: "
                        + cause);
            }
            channel = null;
            retry = loop.schedule(this::connect, retryDelayMs, TimeUnit.MILLISECONDS);
            retryDelayMs = Math.min(2 * retryDelayMs, MAX_RETRY_DELAY_MS);
        }
    }
}
