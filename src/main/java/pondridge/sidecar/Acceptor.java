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
 * Accepts clients' connections. Netty's own acceptor pauses for a second after a failed {@code accept}; what
 * waits in the backlog would be late by then. This one tries again within milliseconds, without a busy loop
 * while descriptors or memory are short.
 */
final class Acceptor extends ChannelInboundHandlerAdapter {
    private static final int BACKLOG = 1024;
    private static final long RETRY_MS = 5;

    /** Netty accepts so many connections in one go; after fewer the backlog is empty. */
    private static final int MOST_AT_ONCE = 16;

    /** Takes accepted connections, on the loop. */
    interface Listener {
        /**
         * A connection is there; its handlers are to be added now, before it is registered.
         *
         * @param waited for how many nanoseconds it may have waited while none could be accepted
         * @return whether it may stay
         */
        boolean accepted(Channel connection, long waited);

        /** No connection could be accepted. */
        void shortage();
    }

    private final Listener listener;
    private long failures;
    private long failingSince;
    private long lastFailingSince;
    private int accepted;

    private Acceptor(Listener listener) {
        this.listener = listener;
    }

    /**
     * Listens at an address.
     *
     * @throws io.netty.channel.ChannelException if no socket can be had
     */
    static ChannelFuture listen(EventLoop loop, InetSocketAddress address, Listener listener) {
        ServerChannel channel = new ServerChannel();
        channel.config().setOption(ChannelOption.SO_BACKLOG, BACKLOG);
        channel.config().setOption(ChannelOption.SO_REUSEADDR, true);
        channel.pipeline().addLast(new Acceptor(listener));
        loop.register(channel);
        return channel.bind(address).addListener(bound -> {
            if (!bound.isSuccess()) {
                channel.close();
            }
        });
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        Channel connection = (Channel) message;
        connection.config().setOption(ChannelOption.TCP_NODELAY, true);
        accepted++;
        if (!listener.accepted(connection, failingSince == 0 ? 0 : System.nanoTime() - failingSince)) {
            connection.unsafe().closeForcibly();
            return;
        }
        context.channel().eventLoop().register(connection).addListener(registered -> {
            if (!registered.isSuccess()) {
                connection.unsafe().closeForcibly();
            }
        });
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (accepted < MOST_AT_ONCE) {
            lastFailingSince = failingSince;
            failingSince = 0;
        }
        accepted = 0;
    }

    /** Netty calls this behind {@link #channelReadComplete} of the same go: the backlog is not empty. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failingSince = lastFailingSince == 0 ? System.nanoTime() : lastFailingSince;
        failures++;
        if (Long.bitCount(failures) == 1) {
            System.err.println("frontend: accept failed, " + failures + " times so far: " + cause);
        }
        listener.shortage();
        Channel channel = context.channel();
        channel.config().setAutoRead(false);
        channel.eventLoop().schedule(() -> {
            channel.config().setAutoRead(true);
        }, RETRY_MS, TimeUnit.MILLISECONDS);
    }
}
