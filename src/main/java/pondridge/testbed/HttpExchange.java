package pondridge.testbed;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One client connection to a sidecar; carries one exchange after the other. */
final class HttpExchange implements Closeable {
    private static final int CONNECT_LIMIT_MS = 3_000;

    private final Socket socket = new Socket();
    private final InputStream in;
    private int exchanges;
    private long idleSince;

    HttpExchange(InetSocketAddress address) throws IOException {
        try {
            socket.setTcpNoDelay(true);
            socket.connect(address, CONNECT_LIMIT_MS);
            in = new BufferedInputStream(socket.getInputStream());
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Whether an exchange has ended well on this connection before. */
    boolean used() {
        return exchanges > 0;
    }

    void done() {
        exchanges++;
        idleSince = System.nanoTime();
    }

    long idleMs() {
        return (System.nanoTime() - idleSince) / 1_000_000;
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends in so many pieces, with pauses between them. */
    void sendSlowly(String text, int pieces, long pauseMs) throws IOException {
        int size = Math.max(1, text.length() / pieces);
        for (int at = 0; at < text.length(); at += size) {
            if (at > 0) {
                StubUpstream.sleep(pauseMs);
            }
            send(text.substring(at, Math.min(text.length(), at + size)));
        }
    }

    /**
     * Reads the next answer.
     *
     * @return the answer, or null if the connection ended before it
     * @throws java.net.SocketTimeoutException if none came until then
     */
    HttpMessage read(long untilNanos) throws IOException {
        long left = (untilNanos - System.nanoTime()) / 1_000_000;
        socket.setSoTimeout((int) Math.max(1, left));
        return HttpMessage.read(in);
    }

    /** Closes with a reset. */
    void reset() {
        LoopbackServer.reset(socket);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
