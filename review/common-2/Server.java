package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A listening socket on a loopback address; each connection is handled on a thread of its own. */
class Server implements AutoCloseable {
    /** Handles one connection, which is closed when it returns or fails. */
    interface Handler {
        void handle(Socket connection) throws Exception;
    }

    private final ServerSocket socket = new ServerSocket();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    Server(Handler handler) throws IOException {
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        daemon(() -> {
            while (!socket.isClosed()) {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                daemon(() -> {
                    try (connection) {
                        handler.handle(connection);
                    } finally {
                        connections.remove(connection);
                    }
                });
            }
        });
    }

    /** The address, as the configuration and the list of upstreams give it. */
    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Resets the open connections, as the end of a process does. */
    void resetConnections() throws IOException {
        for (Socket connection : connections) {
            reset(connection);
        }
    }

    /** Takes no new connections any more. */
    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** Resets a connection, unless its handler has just closed it. */
    static void reset(Socket connection) throws IOException {
        if (!connection.isClosed()) {
            try {
                connection.setSoLinger(true, 0);
            } catch (IOException e) {
                return;
            }
            connection.close();
        }
    }

    /** Something that may fail, run on a thread of its own. */
    interface Task {
        void run() throws Exception;
    }

    /** Starts a daemon thread; errors of connections that break are expected and end it. */
    static Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                return;
            } catch (Exception e) {
                e.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
