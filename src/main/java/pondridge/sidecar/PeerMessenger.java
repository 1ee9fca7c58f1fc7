package pondridge.sidecar;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import pondridge.Balancer.Actions;

/** Messages to and from the other sidecars, as datagrams that may be late or lost. */
final class PeerMessenger {
    /** One byte more than a message may have, so that a longer one is seen to be. */
    private static final int MOST_READ = 257;
    private static final long RETRY_MS = 500;

    /**
     * Where they are: {@code listen} and {@code all} are null, and {@code each} is empty, in a deployment
     * without such messages.
     */
    record Addresses(InetSocketAddress listen, List<InetSocketAddress> each, InetSocketAddress all) { }

    /** Takes a message from the sidecar of that number. */
    interface Listener {
        void heard(int from, byte[] message);
    }

    private final Addresses addresses;
    private final Listener listener;
    private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    private Channel channel;
    private long failures;

    PeerMessenger(Addresses addresses, Listener listener) {
        this.addresses = addresses;
        this.listener = listener;
        for (int i = 0; i < addresses.each().size(); i++) {
            numbers.put(addresses.each().get(i), i);
        }
    }

    /** Nothing rests on these messages: until the socket can be had, the sidecar goes on alone. */
    void listen(EventLoop loop) {
        if (addresses.listen() != null) {
            open(loop);
        }
    }

    private void open(EventLoop loop) {
        try {
            channel = new NioDatagramChannel();
        } catch (ChannelException e) {
            openAgain(loop, e);
            return;
        }
        Channel opened = channel;
        opened.config().setRecvByteBufAllocator(new FixedRecvByteBufAllocator(MOST_READ));
        opened.pipeline().addLast(new Inbound());
        loop.register(opened);
        opened.bind(addresses.listen()).addListener(bound -> {
            if (bound.isSuccess()) {
                opened.closeFuture().addListener(closed -> openAgain(loop, closed.cause()));
            } else {
                opened.close();
                openAgain(loop, bound.cause());
            }
        });
    }

    private void openAgain(EventLoop loop, Throwable cause) {
        failures++;
        if (Long.bitCount(failures) == 1) {
            System.err.println("peers: no socket, " + failures + " times so far: " + cause);
        }
        if (!loop.isShuttingDown()) {
            loop.schedule(() -> open(loop), RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    void send(int peer, byte[] message) {
        InetSocketAddress to = peer != Actions.ALL_PEERS ? addresses.each().get(peer) : addresses.all();
        if (channel != null && channel.isActive() && to != null) {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(message), to));
        }
    }

    private final class Inbound extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            Integer from = numbers.get(packet.sender());
            if (from != null && packet.content().readableBytes() < MOST_READ) {
                listener.heard(from, ByteBufUtil.getBytes(packet.content()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A datagram that could not be sent or read is one of those that are lost.
        }
    }
}
