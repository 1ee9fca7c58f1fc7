package pondridge.testbed;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds free ports below the range from which Linux takes the ports of outgoing connections, so that no such
 * connection takes the port of a server or sidecar while it restarts.
 */
final class Ports {
    private static final int FIRST_PORT = 12_000;
    /** Exclusive. */
    private static final int END_PORT = 32_000;
    private static final int BACKLOG = 1;

    private Ports() { }

    /** Returns a random port of the loopback address that is currently free for both TCP and UDP. */
    static int findFree() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, END_PORT);
            if (isFree(port)) {
                return port;
            }
        }
    }

    private static boolean isFree(int port) {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket stream = new ServerSocket(port, BACKLOG, loopback);
                DatagramSocket datagram = new DatagramSocket(port, loopback)) {
            return stream.isBound() && datagram.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
