package pondridge.testbed;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A server on a port of the loopback address that handles each connection on a thread of its own. It can stop
 * as if its process had died, which resets connections and refuses new ones, and restart on the same port.
 */
final class LoopbackServer implements AutoCloseable {
    private static final int BACKLOG = 1024;
    private static final int MAX_BIND_FAILURES = 500;
    private static final long BIND_RETRY_MS = 10;
    private static final long THREAD_STACK_BYTES = 256 * 1024;

    /** Handles one connection, which is closed when {@link #handle} returns or throws. */
    interface ConnectionHandler {
        void handle(Socket connection) throws IOException;
    }

    /** Threads are used again: starting one for each connection takes long on a busy machine. */
    private static final ExecutorService CONNECTION_THREADS = Executors.newCachedThreadPool(
            work -> daemonThread("testbed-connection", work));

    private final String name;
    private final ConnectionHandler handler;
    private final Set<Socket> openConnections = ConcurrentHashMap.newKeySet();
    private final int port;
    private volatile ServerSocket serverSocket;

    LoopbackServer(String name, ConnectionHandler handler) throws IOException {
        this.name = name;
        this.handler = handler;
        port = Ports.findFree();
        start(port);
    }

    private void start(int atPort) throws IOException {
        ServerSocket listening = new ServerSocket();
        listening.setReuseAddress(true);
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), atPort);
        for (int failures = 0; !listening.isBound(); failures++) {
            try {
                listening.bind(address, BACKLOG);
            } catch (BindException e) {
                // Another process's connection may have been given the port while nothing listened on it.
                if (failures == MAX_BIND_FAILURES) {
                    throw e;
                }
                StubUpstream.sleep(BIND_RETRY_MS);
            }
        }
        serverSocket = listening;
        startThread(name, () -> acceptConnections(listening));
    }

    /** Starts a daemon thread. */
    static Thread startThread(String name, Runnable work) {
        Thread thread = daemonThread(name, work);
        thread.start();
        return thread;
    }

    private static Thread daemonThread(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, THREAD_STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Runs short work, such as that of one connection, on a thread of its own that may have been used before.
     */
    static void runOnConnectionThread(Runnable work) {
        CONNECTION_THREADS.execute(work);
    }

    int port() {
        return port;
    }

    String endpoint() {
        return "127.0.0.1:" + port;
    }

    private void acceptConnections(ServerSocket listening) {
        while (!listening.isClosed()) {
            try {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                openConnections.add(socket);
                runOnConnectionThread(() -> serve(socket));
            } catch (IOException e) {
                // The server was stopped, or the connection ended before it was accepted.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            handler.handle(socket);
        } catch (IOException e) {
            // The other side ended the connection.
        } finally {
            openConnections.remove(socket);
        }
    }

    /** Resets all open connections; new ones are still accepted. */
    void resetConnections() {
        for (Socket socket : openConnections) {
            reset(socket);
        }
    }

    /** Closes a connection with a reset. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The socket was already closed.
        }
    }

    /** Stops accepting connections; open ones are kept. */
    void stopAccepting() throws IOException {
        serverSocket.close();
    }

    /** Stops accepting connections and resets the open ones, as if the process had died. */
    void crash() throws IOException {
        stopAccepting();
        resetConnections();
    }

    /** Accepts connections again, on the same port. */
    void restart() throws IOException {
        start(port);
    }

    @Override
    public void close() throws IOException {
        crash();
    }
}
