package pondridge.testbed;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Accepts connections on a port of the loopback address and serves each on a thread of its own, until it is
 * stopped as a process that dies: connections are reset and new ones refused. It can start again on its port.
 */
final class LoopbackServer implements AutoCloseable {
    private static final int BACKLOG = 1024;
    private static final int MOST_BIND_FAILURES = 500;
    private static final long BIND_RETRY_MS = 10;
    private static final long STACK_BYTES = 256 * 1024;

    /** Serves one connection; it is closed when this returns or throws. */
    interface Service {
        void serve(Socket connection) throws IOException;
    }

    private final String name;
    private final Service service;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final int port;
    private volatile ServerSocket server;

    LoopbackServer(String name, Service service) throws IOException {
        this.name = name;
        this.service = service;
        port = Ports.free();
        start(port);
    }

    private void start(int atPort) throws IOException {
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), atPort);
        for (int failures = 0; !opened.isBound(); failures++) {
            try {
                opened.bind(address, BACKLOG);
            } catch (BindException e) {
                // Another party's connection may have been given the port while nobody listened on it.
                if (failures == MOST_BIND_FAILURES) {
                    throw e;
                }
                StubUpstream.sleep(BIND_RETRY_MS);
            }
        }
        server = opened;
        thread(name, () -> accept(opened));
    }

    static Thread thread(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    int port() {
        return port;
    }

    String endpoint() {
        return "127.0.0.1:" + port;
    }

    private void accept(ServerSocket from) {
        while (!from.isClosed()) {
            try {
                Socket socket = from.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                thread(name + "-connection", () -> serve(socket));
            } catch (IOException e) {
                // Stopped, or the connection was gone before it could be accepted.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            service.serve(socket);
        } catch (IOException e) {
            // The other side has ended the connection.
        } finally {
            open.remove(socket);
        }
    }

    /** Resets all connections; new ones are still accepted. */
    void resetConnections() {
        for (Socket socket : open) {
            reset(socket);
        }
    }

    /** Ends a connection with a reset instead of an orderly close. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It was closed already.
        }
    }

    /** Accepts no more; open connections go on. */
    void stopAccepting() throws IOException {
        server.close();
    }

    void crash() throws IOException {
        stopAccepting();
        resetConnections();
    }

    void startAgain() throws IOException {
        start(port);
    }

    @Override
    public void close() throws IOException {
        crash();
    }
}
