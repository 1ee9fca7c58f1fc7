package pondridge.sidecar;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * Accepts client connections; runs on the event loop as the handler of the listening channel. Netty's own
 * acceptor pauses for one second after a failed {@code accept}, too long for the requests of clients in the
 * backlog. This one retries after a few milliseconds: not at once, since that would be a busy loop while
 * descriptors or memory are exhausted.
 */
final class Acceptor extends ChannelInboundHandlerAdapter {
    private static final int BACKLOG = 1024;
    private static final long RETRY_DELAY_MS = 5;

    /** Netty accepts at most this many connections per read; after fewer the backlog is empty. */
    private static final int MAX_ACCEPTS_PER_READ = 16;

    /** Receives accepted connections, on the event loop. */
    interface Listener {
        /**
         * Called for each accepted connection before it is registered; adds the connection's handlers.
         *
         * @param waitedNanos for how long the connection may have waited in the backlog
         * @return whether to keep the connection; otherwise it is closed
         */
        boolean accepted(RetryingSocketChannel connection, long waitedNanos);

        /** Called when {@code accept} has failed; it is retried after a few milliseconds. */
        void acceptFailed();
    }

    private final Listener listener;
    private final EventLoopMonitor loopMonitor;
    private long failures;
    /**
     * Since when connections may have waited in the backlog, of {@link System#nanoTime}; 0 after a read that
     * emptied it.
     */
    private long waitingSince;
    /** The value of {@link #waitingSince} before the last read, should that turn out to have failed. */
    private long previousWaitingSince;
    private int acceptedInRead;
    private int acceptedSinceEmpty;

    private Acceptor(Listener listener, EventLoopMonitor loopMonitor) {
        this.listener = listener;
        this.loopMonitor = loopMonitor;
    }

    /**
     * Binds a listening socket to an address; the future fails if the address is not available.
     *
     * @throws io.netty.channel.ChannelException if the socket cannot be created
     */
    static ChannelFuture listen(EventLoop loop, InetSocketAddress address, Listener listener,
            EventLoopMonitor loopMonitor) {
        ServerChannel channel = new ServerChannel();
        channel.config().setOption(ChannelOption.SO_BACKLOG, BACKLOG);
        channel.config().setOption(ChannelOption.SO_REUSEADDR, true);
        channel.pipeline().addLast(new Acceptor(listener, loopMonitor));
        loop.register(channel);
        return channel.bind(address).addListener(bound -> {
            if (!bound.isSuccess()) {
                channel.close();
            }
        });
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        RetryingSocketChannel connection = (RetryingSocketChannel) message;
        connection.config().setOption(ChannelOption.TCP_NODELAY, true);
        acceptedInRead++;
        if (!listener.accepted(connection, waitedNanos())) {
            connection.unsafe().closeForcibly();
            return;
        }
        context.channel().eventLoop().register(connection).addListener(registered -> {
            if (!registered.isSuccess()) {
                connection.unsafe().closeForcibly();
            }
        });
    }

    private long waitedNanos() {
        long now = System.nanoTime();
        long unreadSince = now - loopMonitor.maxUnreadNanos(now);
        if (waitingSince == 0 || unreadSince - waitingSince < 0) {
            waitingSince = unreadSince;
        }
        return now - waitingSince;
    }

    /** After a full read, the rest of the backlog has waited as long, up to the size of the backlog. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        acceptedSinceEmpty += acceptedInRead;
        if (acceptedInRead < MAX_ACCEPTS_PER_READ || acceptedSinceEmpty >= BACKLOG) {
            previousWaitingSince = waitingSince;
            waitingSince = 0;
            acceptedSinceEmpty = 0;
        }
        acceptedInRead = 0;
    }

    /**
     * Handles a failed {@code accept}. Netty calls this after {@link #channelReadComplete} of the same read,
     * which took the backlog for empty; it is not, so {@link #waitingSince} is restored.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        waitingSince = previousWaitingSince == 0 ? System.nanoTime() : previousWaitingSince;
        failures++;
        if (Long.bitCount(failures) == 1) {
            System.err.println("frontend: accept failed, " + failures + " times so far: " + cause);
        }
        listener.acceptFailed();
        Channel channel = context.channel();
        channel.config().setAutoRead(false);
        channel.eventLoop().schedule(() -> {
            channel.config().setAutoRead(true);
        }, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }
}
