package pondridge.testbed;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A TCP proxy before one upstream. Requests pass at once, so that what arrives behind it arrives in time; the
 * connections can be reset, and answers be held back or cut into pieces.
 */
final class FaultProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 8_192;
    private static final int PIECE_BYTES = 50;
    private static final long POLL_MS = 2;

    private final int targetPort;
    private final LoopbackServer listener;
    private volatile long answersHeldUntil;
    private volatile long piecesUntil;

    FaultProxy(String name, int targetPort) throws IOException {
        this.targetPort = targetPort;
        this.listener = new LoopbackServer(name, this::serve);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.port());
    }

    String endpoint() {
        return listener.endpoint();
    }

    /** Holds all answers back from now on for a time. */
    void holdAnswers(long ms) {
        answersHeldUntil = System.nanoTime() + ms * 1_000_000;
    }

    /** Passes answers on in small pieces from now on for a time. */
    void cutAnswers(long ms) {
        piecesUntil = System.nanoTime() + ms * 1_000_000;
    }

    void resetConnections() {
        listener.resetConnections();
    }

    private void serve(Socket client) throws IOException {
        try (Socket upstream = new Socket(InetAddress.getLoopbackAddress(), targetPort)) {
            upstream.setTcpNoDelay(true);
            LoopbackServer.startThread("proxy-answers", () -> passAnswers(upstream, client));
            pass(client.getInputStream(), upstream.getOutputStream());
        } catch (IOException e) {
            LoopbackServer.reset(client);
        }
    }

    private static void pass(InputStream in, OutputStream out) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
            out.write(buffer, 0, count);
        }
    }

    private void passAnswers(Socket upstream, Socket client) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = upstream.getInputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                awaitRelease();
                write(client.getOutputStream(), buffer, count);
            }
            client.close();
        } catch (IOException e) {
            // Either side reset the connection: so the other one learns it, too.
            LoopbackServer.reset(client);
            LoopbackServer.reset(upstream);
        }
    }

    private void awaitRelease() {
        while (System.nanoTime() < answersHeldUntil) {
            StubUpstream.sleep(POLL_MS);
        }
    }

    private void write(OutputStream out, byte[] buffer, int count) throws IOException {
        for (int at = 0; at < count;) {
            int piece = System.nanoTime() < piecesUntil ? Math.min(PIECE_BYTES, count - at) : count - at;
            out.write(buffer, at, piece);
            at += piece;
            if (at < count) {
                StubUpstream.sleep(1);
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
