package pondridge.testbed;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A TCP proxy in front of one upstream. It can reset connections, delay responses and split them into small
 * fragments. Requests are forwarded without delay. It tells the upstream from which port of the sidecar each
 * connection comes, by which an attempt is found in the {@link SidecarTrace}.
 */
final class FaultProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 8_192;
    private static final int FRAGMENT_BYTES = 50;
    private static final long POLL_INTERVAL_MS = 2;

    private final StubUpstream stub;
    private final LoopbackServer server;
    private volatile long delayedUntilNanos;
    private volatile long fragmentedUntilNanos;

    FaultProxy(String name, StubUpstream stub) throws IOException {
        this.stub = stub;
        this.server = new LoopbackServer(name, this::serve);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port());
    }

    String endpoint() {
        return server.endpoint();
    }

    /** Delays all responses until the given time in milliseconds has passed. */
    void delayResponses(long ms) {
        delayedUntilNanos = System.nanoTime() + ms * 1_000_000;
    }

    /** Forwards responses in small fragments, from now on for the given time in milliseconds. */
    void fragmentResponses(long ms) {
        fragmentedUntilNanos = System.nanoTime() + ms * 1_000_000;
    }

    void resetConnections() {
        server.resetConnections();
    }

    private void serve(Socket sidecar) throws IOException {
        try (Socket upstream = new Socket(InetAddress.getLoopbackAddress(), stub.port())) {
            upstream.setTcpNoDelay(true);
            stub.connectionProxied(upstream.getLocalPort(), sidecar.getPort());
            LoopbackServer.runOnConnectionThread(() -> forwardResponses(upstream, sidecar));
            copy(sidecar.getInputStream(), upstream.getOutputStream());
        } catch (IOException e) {
            LoopbackServer.reset(sidecar);
        }
    }

    private static void copy(InputStream in, OutputStream out) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
            out.write(buffer, 0, count);
        }
    }

    private void forwardResponses(Socket upstream, Socket sidecar) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = upstream.getInputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                awaitEndOfDelay();
                writeResponse(sidecar.getOutputStream(), buffer, count);
            }
            sidecar.close();
        } catch (IOException e) {
            // One side reset its connection, so the other connection is reset, too.
            LoopbackServer.reset(sidecar);
            LoopbackServer.reset(upstream);
        }
    }

    private void awaitEndOfDelay() {
        while (System.nanoTime() < delayedUntilNanos) {
            StubUpstream.sleep(POLL_INTERVAL_MS);
        }
    }

    private void writeResponse(OutputStream out, byte[] buffer, int count) throws IOException {
        for (int offset = 0; offset < count;) {
            int length = System.nanoTime() < fragmentedUntilNanos ? Math.min(FRAGMENT_BYTES, count - offset)
                    : count - offset;
            out.write(buffer, offset, length);
            offset += length;
            if (offset < count) {
                StubUpstream.sleep(1);
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
