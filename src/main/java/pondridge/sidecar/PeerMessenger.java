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

/**
 * Sends and receives peer messages as UDP datagrams, which may be late or lost. Used on the event loop only;
 * the listener is called on it, too.
 */
final class PeerMessenger {
    /** One byte more than the largest allowed message, so that a larger one is recognised and dropped. */
    private static final int RECEIVE_BUFFER_BYTES = 257;
    private static final long RETRY_DELAY_MS = 500;

    /**
     * The UDP addresses of the sidecars. In a deployment without peer messages, {@code listen} and
     * {@code allPeers} are null and {@code peers} is empty.
     *
     * @param listen this sidecar's own address
     * @param peers the address of each sidecar, this one included, by sidecar index
     * @param allPeers the address that a message for all sidecars is sent to
     */
    record Addresses(InetSocketAddress listen, List<InetSocketAddress> peers, InetSocketAddress allPeers) { }

    /** Receives the messages of the other sidecars. */
    interface Listener {
        /** Called for each message; {@code peer} is the sender's sidecar index. */
        void messageReceived(int peer, byte[] message);
    }

    private final Addresses addresses;
    private final Listener listener;
    private final Map<InetSocketAddress, Integer> indexByAddress = new HashMap<>();
    private Channel channel;
    /** How often the socket could not be opened or bound, or was closed. */
    private long socketFailures;

    PeerMessenger(Addresses addresses, Listener listener) {
        this.addresses = addresses;
        this.listener = listener;
        for (int i = 0; i < addresses.peers().size(); i++) {
            indexByAddress.put(addresses.peers().get(i), i);
        }
    }

    /**
     * Opens the socket, if the deployment has peer messages, and opens it again after each failure. The
     * sidecar works without these messages, so that a failure has no other effect.
     */
    void listen(EventLoop loop) {
        if (addresses.listen() != null) {
            open(loop);
        }
    }

    private void open(EventLoop loop) {
        try {
            channel = new NioDatagramChannel();
        } catch (ChannelException e) {
            openLater(loop, e);
            return;
        }
        Channel opened = channel;
        opened.config().setRecvByteBufAllocator(new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES));
        opened.pipeline().addLast(new DatagramHandler());
        loop.register(opened);
        opened.bind(addresses.listen()).addListener(bound -> {
            if (bound.isSuccess()) {
                opened.closeFuture().addListener(closed -> openLater(loop, closed.cause()));
            } else {
                opened.close();
                openLater(loop, bound.cause());
            }
        });
    }

    private void openLater(EventLoop loop, Throwable cause) {
        socketFailures++;
        if (Long.bitCount(socketFailures) == 1) {
            System.err.println("peers: socket failed, " + socketFailures + " times so far: " + cause);
        }
        if (!loop.isShuttingDown()) {
            loop.schedule(() -> open(loop), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Sends to one sidecar, or to all; a message is dropped while the socket is not open. */
    void send(int peer, byte[] message) {
        InetSocketAddress address = peer != Actions.ALL_PEERS ? addresses.peers().get(peer)
                : addresses.allPeers();
        if (channel != null && channel.isActive() && address != null) {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(message), address));
        }
    }

    /** Passes datagrams to the listener; drops those that are too long or not from a known sidecar. */
    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            Integer peer = indexByAddress.get(packet.sender());
            if (peer != null && packet.content().readableBytes() < RECEIVE_BUFFER_BYTES) {
                listener.messageReceived(peer, ByteBufUtil.getBytes(packet.content()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A datagram that could not be sent or read counts as lost.
        }
    }
}
