package pondridge.sidecar;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pondridge.SettingsReader;

/**
 * The server side of the sidecar: accepts client connections, limits their number, and closes them step by
 * step at shutdown. Used on the event loop only.
 */
final class Frontend implements Acceptor.Listener {
    /** The protocol permits closing a connection that has been idle for 2 s, which makes room for another. */
    private static final long MIN_IDLE_BEFORE_CLOSE_NANOS = 2_000_000_000;
    /**
     * A connection with this many bytes of responses unwritten starts no further request, so that a client
     * that does not read holds little memory.
     */
    private static final WriteBufferWaterMark UNWRITTEN_BYTES = new WriteBufferWaterMark(2 << 10, 4 << 10);
    /**
     * In each poll of the event loop a connection is read once, and at most this much, so that a client that
     * sends without a pause takes turns with all others.
     */
    private static final int MAX_READ_BYTES = 16 << 10;
    private static final RecvByteBufAllocator READS =
            new AdaptiveRecvByteBufAllocator(64, 2 << 10, MAX_READ_BYTES).maxMessagesPerRead(1);
    /**
     * One eighth more connections than the limit are accepted, and each request on them is refused with a
     * response. Connections beyond that are closed without one.
     */
    private static final int OVER_LIMIT_DIVISOR = 8;

    private final RequestDispatcher dispatcher;
    private final EventLoopMonitor loopMonitor;
    private final RequestParser parser;
    private final int maxConnections;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private boolean ready;
    private boolean draining;
    private boolean finishing;

    Frontend(RequestDispatcher dispatcher, EventLoopMonitor loopMonitor, SettingsReader settingsReader,
            int maxConnections) {
        this.dispatcher = dispatcher;
        this.loopMonitor = loopMonitor;
        this.parser = new RequestParser(settingsReader);
        this.maxConnections = maxConnections;
    }

    /**
     * Binds the listening socket. Requests are served from then on; {@code /up} responds 200 only after
     * {@link #markReady}.
     *
     * @throws io.netty.channel.ChannelException if the socket cannot be created
     */
    ChannelFuture listen(EventLoop loop, InetSocketAddress address) {
        return Acceptor.listen(loop, address, this, loopMonitor);
    }

    @Override
    public void acceptFailed() {
        closeLongestIdle();
    }

    @Override
    public boolean accepted(RetryingSocketChannel channel, long waitedNanos) {
        if (connections.size() >= maxConnections) {
            closeLongestIdle();
        }
        if (connections.size() >= maxConnections + maxConnections / OVER_LIMIT_DIVISOR) {
            return false;
        }
        MemoryBudget memoryBudget = dispatcher.memoryBudget();
        RequestDecoder decoder = new RequestDecoder(memoryBudget);
        ClientConnection connection = new ClientConnection(this, dispatcher, channel, decoder,
                connections.size() >= maxConnections, waitedNanos);
        channel.config().setWriteBufferWaterMark(UNWRITTEN_BYTES);
        channel.config().setRecvByteBufAllocator(READS);
        channel.pipeline().addLast(decoder, new HttpResponseEncoder(), new RequestAggregator(memoryBudget),
                connection);
        return true;
    }

    EventLoopMonitor loopMonitor() {
        return loopMonitor;
    }

    RequestParser parser() {
        return parser;
    }

    /** What {@code /up} reports: whether the sidecar is ready and not draining. */
    boolean up() {
        return ready && !draining;
    }

    /** Whether each connection is closed after its last response. */
    boolean draining() {
        return draining;
    }

    /** Whether new requests are refused unsent, since the process is about to exit. */
    boolean finishing() {
        return finishing;
    }

    /** Lets {@code /up} respond 200; called once, see {@link Readiness}. */
    void markReady() {
        ready = true;
    }

    /** Called by each connection that has been accepted. */
    void opened(ClientConnection connection) {
        connections.add(connection);
    }

    /** Called by each connection that has been closed, by either side. */
    void closed(ClientConnection connection) {
        connections.remove(connection);
    }

    /**
     * Begins draining: closes idle connections that have had a response, and the others after their last
     * response. Clients resend a request that they wrote while such a connection was being closed. New
     * connections are accepted until the process exits.
     */
    void drain() {
        draining = true;
        closeIdle(true);
    }

    /**
     * Closes all idle connections, new ones included. Called when clients have stopped connecting, so that a
     * connection without a request is not going to get one.
     */
    void closeIdleConnections() {
        closeIdle(false);
    }

    /**
     * Responds to all pending requests at once, since the process is about to exit: refuses those that no
     * upstream can have run, and fails the others.
     */
    void finish() {
        finishing = true;
        List.copyOf(connections).forEach(ClientConnection::finish);
        closeIdle(false);
    }

    /**
     * Closes idle connections.
     *
     * @param keepNew whether to keep those that have not had a response yet: their first request may still be
     *     unread, and clients do not resend it
     */
    private void closeIdle(boolean keepNew) {
        for (ClientConnection connection : List.copyOf(connections)) {
            if (connection.isIdle() && (connection.hasResponded() || !keepNew)) {
                connection.closeIfIdle();
            }
        }
    }

    /** Closes the connection that has been idle for longest, if that is long enough. */
    private void closeLongestIdle() {
        long now = System.nanoTime();
        connections.stream().filter(connection -> connection.isIdle()
                        && now - connection.idleSince() >= MIN_IDLE_BEFORE_CLOSE_NANOS)
                .min((a, b) -> Long.compare(a.idleSince() - b.idleSince(), 0))
                .ifPresent(connection -> {
                    connections.remove(connection);
                    connection.closeIfIdle();
                });
    }

    /** Whether no client is connected any more. */
    boolean hasNoConnections() {
        return connections.isEmpty();
    }
}
