package pondridge.testbed;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection to a sidecar, which carries one exchange after another. */
final class HttpConnection implements Closeable {
    private static final int CONNECT_TIMEOUT_MS = 3_000;

    private final Socket socket = new Socket();
    private final InputStream in;
    private int completedExchanges;
    private long idleSinceNanos;

    HttpConnection(InetSocketAddress address) throws IOException {
        try {
            socket.setTcpNoDelay(true);
            socket.connect(address, CONNECT_TIMEOUT_MS);
            in = new BufferedInputStream(socket.getInputStream());
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** The client's port. */
    int localPort() {
        return socket.getLocalPort();
    }

    /** Whether this connection has completed an exchange. */
    boolean isReused() {
        return completedExchanges > 0;
    }

    /** Records that an exchange has completed and the connection is idle. */
    void exchangeCompleted() {
        completedExchanges++;
        idleSinceNanos = System.nanoTime();
    }

    /** The time since the last exchange completed, in milliseconds. */
    long idleMs() {
        return (System.nanoTime() - idleSinceNanos) / 1_000_000;
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends the text in about this many pieces, with pauses between them. */
    void sendSlowly(String text, int pieces, long pauseMs) throws IOException {
        int size = Math.max(1, text.length() / pieces);
        for (int start = 0; start < text.length(); start += size) {
            if (start > 0) {
                StubUpstream.sleep(pauseMs);
            }
            send(text.substring(start, Math.min(text.length(), start + size)));
        }
    }

    /**
     * Reads the next response. The time until the limit becomes the timeout of each read of the socket, so
     * that a response whose bytes arrive slowly may take longer.
     *
     * @param untilNanos the time limit, as a value of {@link System#nanoTime}
     * @return the response, or null if the connection ended before it
     * @throws java.net.SocketTimeoutException if no bytes arrive in time
     */
    HttpMessage read(long untilNanos) throws IOException {
        long remainingMs = (untilNanos - System.nanoTime()) / 1_000_000;
        socket.setSoTimeout((int) Math.max(1, remainingMs));
        return HttpMessage.read(in);
    }

    /** Closes the connection with a reset. */
    void reset() {
        LoopbackServer.reset(socket);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
