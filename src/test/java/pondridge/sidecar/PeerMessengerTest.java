package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import pondridge.Balancer.Actions;

/** Sends and receives peer messages on real sockets. */
@Timeout(FakeUpstream.TIMEOUT_S)
class PeerMessengerTest {
    /** A peer message that was received; {@code from} is the sender's index in the list of peers. */
    private record Received(int from, byte[] message) { }

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Received> received = new LinkedBlockingQueue<>();

    @AfterEach
    void stopEventLoop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static DatagramSocket socket() throws Exception {
        DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakeUpstream.TIMEOUT_S));
        return socket;
    }

    private static InetSocketAddress address(DatagramSocket socket) {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    @Test
    void sendsToAllPeersAndReceivesFromKnownPeersOnly() throws Exception {
        try (DatagramSocket all = socket(); DatagramSocket first = socket(); DatagramSocket third = socket();
                DatagramSocket unknown = socket()) {
            InetSocketAddress listen;
            try (DatagramSocket free = socket()) {
                listen = address(free);
            }
            PeerMessenger peerMessenger = new PeerMessenger(new PeerMessenger.Addresses(listen,
                    List.of(address(first), listen, address(third)), address(all)),
                    (from, message) -> received.add(new Received(from, message)));
            loop.submit(() -> peerMessenger.listen(loop)).sync();
            loop.submit(() -> peerMessenger.send(Actions.ALL_PEERS, new byte[] {1, 2, 3, 4})).sync();
            DatagramPacket packet = new DatagramPacket(new byte[300], 300);
            all.receive(packet);
            assertEquals(4, packet.getLength());
            assertEquals(listen, packet.getSocketAddress());
            unknown.send(new DatagramPacket(new byte[] {9}, 1, listen));
            third.send(new DatagramPacket(new byte[300], 300, listen));
            third.send(new DatagramPacket(new byte[] {5, 6}, 2, listen));
            Received only = FakeUpstream.next(received);
            assertEquals(2, only.from);
            assertArrayEquals(new byte[] {5, 6}, only.message);
            assertEquals(0, received.size());
        }
    }

    /**
     * If another process holds the address when the sidecar starts, the bind fails; without a retry the
     * sidecar would never receive a peer message.
     */
    @Test
    void receivesMessagesAfterItsAddressWasInUseAtStart() throws Exception {
        try (DatagramSocket peer = socket()) {
            InetSocketAddress listen;
            try (DatagramSocket taken = socket()) {
                listen = address(taken);
                PeerMessenger peerMessenger = new PeerMessenger(
                        new PeerMessenger.Addresses(listen, List.of(address(peer), listen), null),
                        (from, message) -> received.add(new Received(from, message)));
                loop.submit(() -> peerMessenger.listen(loop)).sync();
                loop.submit(() -> { }).sync();
            }
            while (received.isEmpty()) {
                peer.send(new DatagramPacket(new byte[] {7}, 1, listen));
                Thread.sleep(20);
            }
            assertArrayEquals(new byte[] {7}, FakeUpstream.next(received).message);
        }
    }
}
