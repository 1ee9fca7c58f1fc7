package pondridge.sidecar;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pondridge.SettingsReader;

/** The application's side: accepts its connections and decides which of them may stay. */
final class Frontend implements Acceptor.Listener {
    /** Whoever has waited so long without a request may be closed upon (TERMS), for others to get in. */
    private static final long MAY_GO_NS = 2_000_000_000;
    /** Bodies of requests that wait behind others of their connection, over all connections. */
    private static final int MOST_QUEUED_BYTES = 8 << 20;
    /** Over the number that may stay, this part more gets an answer that refuses it. */
    private static final int REFUSED_PART = 8;

    private final RequestDispatcher dispatcher;
    private final EventLoopMonitor times;
    private final RequestParser parser;
    private final int mostConnections;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private int queuedBytes;
    private boolean ready;
    private boolean draining;
    private boolean finishing;

    Frontend(RequestDispatcher dispatcher, EventLoopMonitor times, SettingsReader settingsReader,
            int mostConnections) {
        this.dispatcher = dispatcher;
        this.times = times;
        this.parser = new RequestParser(settingsReader);
        this.mostConnections = mostConnections;
    }

    /** Listens; requests are answered at once, {@code /up} says 200 after {@link #ready}. */
    ChannelFuture listen(EventLoop loop, InetSocketAddress address) {
        return Acceptor.listen(loop, address, this);
    }

    @Override
    public void shortage() {
        dismissOne();
    }

    @Override
    public boolean accepted(Channel made, long waited) {
        if (connections.size() >= mostConnections) {
            dismissOne();
        }
        if (connections.size() >= mostConnections + mostConnections / REFUSED_PART) {
            return false;
        }
        RequestDecoder decoder = new RequestDecoder();
        ClientConnection connection = new ClientConnection(this, dispatcher, made, decoder,
                connections.size() >= mostConnections,
                Math.max(waited, times.maxUnreadNanos(System.nanoTime())));
        made.pipeline().addLast(decoder, new HttpResponseEncoder(), new RequestAggregator(), connection);
        return true;
    }

    EventLoopMonitor times() {
        return times;
    }

    RequestParser parser() {
        return parser;
    }

    /** Whether the sidecar takes requests: it is ready and not about to end. */
    boolean up() {
        return ready && !draining;
    }

    /** Whether each connection ends with its last answer. */
    boolean draining() {
        return draining;
    }

    /** Whether requests are refused unsent, since the process is about to end. */
    boolean finishing() {
        return finishing;
    }

    void ready() {
        ready = true;
    }

    /** Reserves memory for a body that has to wait; false if there is none. */
    boolean reserve(int bytes) {
        if (queuedBytes + bytes > MOST_QUEUED_BYTES) {
            return false;
        }
        queuedBytes += bytes;
        return true;
    }

    void release(int bytes) {
        queuedBytes -= bytes;
    }

    void opened(ClientConnection connection) {
        connections.add(connection);
    }

    void closed(ClientConnection connection) {
        connections.remove(connection);
    }

    /**
     * From now on each answer ends its connection, and so do those that wait for none: a request that crosses
     * such an end is sent again on a new connection, and new ones still get in, to the end of the process.
     */
    void drain() {
        draining = true;
        closeResting(true);
    }

    /** No more connections are to come: who has sent nothing by now will not. */
    void close() {
        closeResting(false);
    }

    /** The process is about to end: all that is held is answered at once, with a refusal if nothing ran. */
    void finish() {
        finishing = true;
        List.copyOf(connections).forEach(ClientConnection::finish);
        closeResting(false);
    }

    /** The first request of a new connection may lie unread, and nobody would send that again. */
    private void closeResting(boolean sparesNew) {
        for (ClientConnection connection : List.copyOf(connections)) {
            if (connection.resting() && (connection.answered() || !sparesNew)) {
                connection.dismiss();
            }
        }
    }

    /** Closes upon whoever has waited for longest without a request, if long enough. */
    private void dismissOne() {
        long now = System.nanoTime();
        connections.stream().filter(one -> one.resting() && now - one.restingSince() >= MAY_GO_NS)
                .min((a, b) -> Long.compare(a.restingSince() - b.restingSince(), 0)).ifPresent(one -> {
                    connections.remove(one);
                    one.dismiss();
                });
    }

    /** Whether no client is connected any more. */
    boolean empty() {
        return connections.isEmpty();
    }
}
