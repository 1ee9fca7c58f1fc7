package pondridge.sidecar;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import pondridge.Balancer.ListUpdateType;
import pondridge.Balancer.UpstreamState;

/**
 * HTTP client of the discovery service. It watches the upstream list for changes or fetches the whole list
 * once. In automatic mode it keeps a watch open by itself and reconnects after a failure; otherwise the
 * balancer starts each watch and fetch, and is notified of each failure.
 *
 * <p>Used by {@link RequestDispatcher} on the event loop only; the listener is called on it, too.
 */
final class DiscoveryClient {
    /**
     * A call fails if nothing is received for this long. Discovery takes up to 2 s to respond, and sends an
     * empty line every 2 s on a watch.
     */
    private static final long READ_TIMEOUT_MS = 5_000;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int MAX_LINE_BYTES = 4 << 20;
    /**
     * Delay before a failed watch is opened again, doubled after each failure. It can be this short because
     * the discovery agent runs on the same machine and a call to it costs nothing.
     */
    private static final long MIN_RETRY_DELAY_MS = 50;
    /** Once discovery is back, an upstream that drains may get attempts for 0.3 s. */
    private static final long MAX_RETRY_DELAY_MS = 150;

    /**
     * One upstream as discovery lists it, still with discovery's names of upstream, zone and model.
     *
     * @param startedAtMs wall-clock time of the upstream's last start in milliseconds, or 0 for long ago
     */
    record ListEntry(String uid, InetSocketAddress endpoint, String zone, String model, int cell,
            UpstreamState state, float weight, long startedAtMs) {

        /** Parses an entry; returns null and logs the entry if it is invalid. */
        private static ListEntry of(JsonNode node) {
            String uid = node.path("uid").asText("");
            UpstreamState state = switch (node.path("state").asText()) {
                case "SERVING" -> UpstreamState.READY;
                case "DRAINING" -> UpstreamState.DRAINING;
                case "DELETED" -> UpstreamState.GONE;
                default -> null;
            };
            InetSocketAddress endpoint = Config.parseAddress(node.path("endpoint").asText(""));
            if (uid.isEmpty() || state == null || endpoint == null && state != UpstreamState.GONE) {
                System.err.println("discovery: entry passed over: " + node);
                return null;
            }
            return new ListEntry(uid, endpoint, node.path("az").asText(""), node.path("model").asText(""),
                    node.path("pod_group").asInt(), state, (float) node.path("capacity_hint").asDouble(1),
                    node.path("boot_ms").asLong());
        }
    }

    /**
     * The whole upstream list, or a change of it.
     *
     * @param invalidUids uids of the entries that could not be parsed; the empty string stands for an entry
     *     whose uid could not be read either
     */
    record UpstreamList(long revision, boolean full, List<ListEntry> entries, Set<String> invalidUids) {
        static final UpstreamList NONE = new UpstreamList(0, true, List.of(), Set.of());

        static UpstreamList of(JsonNode node) {
            List<ListEntry> entries = new ArrayList<>();
            Set<String> invalidUids = new HashSet<>();
            for (JsonNode target : node.path("targets")) {
                ListEntry entry = ListEntry.of(target);
                if (entry != null) {
                    entries.add(entry);
                } else {
                    invalidUids.add(target.path("uid").asText(""));
                }
            }
            return new UpstreamList(node.path("rev").asLong(), node.path("all").asBoolean(), entries,
                    invalidUids);
        }
    }

    private final EventLoop loop;
    private final Dialer dialer;
    private InetSocketAddress address;
    private final BiConsumer<ListUpdateType, List<ListEntry>> listener;
    private final List<ListEntry> cachedEntries;
    /** Whether discovery has responded to a call; before that, the cached list may be out of date. */
    private boolean everResponded;
    /** The last valid entry of each listed upstream, by uid. */
    private final Map<String, ListEntry> lastValidEntries = new HashMap<>();
    private long revision;
    /** The open watch, or null. */
    private DiscoveryCall watch;
    /** Whether a watch is to be open; one that has failed is opened again by this client or its user. */
    private boolean watchWanted;
    /** Whether a failed watch is opened again automatically. */
    private boolean keepWatchOpen;
    private long retryDelayMs = MIN_RETRY_DELAY_MS;

    /**
     * Creates a client that opens no connection yet.
     *
     * @param cachedList the list from the configuration, which counts as the last one received. An upstream
     *     may have drained since, so that the listener gets it only when discovery has responded
     * @param listener called on the event loop with the cached list and then the first response, with each
     *     later list or change of it, and with {@link ListUpdateType#FAILED} once for each call that failed
     *     and is not retried automatically
     */
    DiscoveryClient(EventLoop loop, InetSocketAddress address, UpstreamList cachedList,
            BiConsumer<ListUpdateType, List<ListEntry>> listener) {
        this.loop = loop;
        this.dialer = new Dialer(loop, CONNECT_TIMEOUT_MS);
        this.address = address;
        this.revision = cachedList.revision();
        this.cachedEntries = cachedList.entries();
        applyUpdate(cachedList);
        this.listener = listener;
    }

    /**
     * Takes over a list or a change of it, and returns the entries that the listener gets. For an invalid
     * entry of a whole list, the last valid entry of the same uid stays in use; upstreams that a whole list
     * does not mention are gone. An invalid entry without a readable uid may stand for any upstream that the
     * list does not mention, so that all of those are kept.
     */
    private List<ListEntry> applyUpdate(UpstreamList update) {
        List<ListEntry> entries = new ArrayList<>(update.entries());
        if (update.full()) {
            Map<String, ListEntry> previous = new HashMap<>(lastValidEntries);
            entries.forEach(entry -> previous.remove(entry.uid()));
            if (!update.invalidUids().contains("")) {
                previous.keySet().retainAll(update.invalidUids());
            }
            entries.addAll(previous.values());
            lastValidEntries.clear();
        }
        for (ListEntry entry : entries) {
            if (entry.state() == UpstreamState.GONE) {
                lastValidEntries.remove(entry.uid());
            } else {
                lastValidEntries.put(entry.uid(), entry);
            }
        }
        return entries;
    }

    /** Opens a watch, and opens it again automatically after each failure. */
    void keepWatchOpen() {
        keepWatchOpen = true;
        watch(true);
    }

    /** Closes the current watch, if any; if {@code enabled}, opens one from the last known revision on. */
    void watch(boolean enabled) {
        watchWanted = enabled;
        if (watch != null) {
            watch.close();
            watch = null;
        }
        if (enabled) {
            watch = new DiscoveryCall(true);
            watch.open();
        }
    }

    /**
     * Uses another address from now on and keeps the last known revision. If a watch is open, or is to be
     * opened again after a failure, one is opened there at once.
     */
    void changeAddress(InetSocketAddress newAddress) {
        address = newAddress;
        retryDelayMs = MIN_RETRY_DELAY_MS;
        if (watchWanted) {
            watch(true);
        }
    }

    /** Fetches the whole list once. */
    void fetch() {
        new DiscoveryCall(false).open();
    }

    /** For the log. */
    @Override
    public String toString() {
        return "rev " + revision + (everResponded ? "" : " not confirmed yet")
                + (watch == null ? ", no watch" : "");
    }

    /** One HTTP call on a connection of its own: a watch, or a fetch of the whole list. */
    private final class DiscoveryCall extends SimpleChannelInboundHandler<HttpObject>
            implements Dialer.Listener {
        private final boolean isWatch;
        /** The bytes received of the current line. */
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private Dialer.Dial dial;
        private Channel channel;
        private Future<?> readTimeout;
        /** Whether a list, a change or, on a watch, an empty line has been received. */
        private boolean responded;
        private boolean closed;

        DiscoveryCall(boolean isWatch) {
            this.isWatch = isWatch;
        }

        void open() {
            restartReadTimeout();
            dial = dialer.dial(address, this);
        }

        @Override
        public void onConnected(RetryingSocketChannel connectedChannel) {
            channel = connectedChannel;
            connectedChannel.pipeline().addLast(new HttpClientCodec(), this);
            sendRequest();
        }

        @Override
        public void onFailed(Throwable cause) {
            fail();
        }

        private void sendRequest() {
            String path = "/discovery/hosts" + (isWatch ? "?watch=1&from=" + revision : "");
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    path);
            request.headers().set(HttpHeaderNames.HOST,
                    address.getAddress().getHostAddress() + ":" + address.getPort());
            channel.writeAndFlush(request);
        }

        private void restartReadTimeout() {
            if (readTimeout != null) {
                readTimeout.cancel(false);
            }
            readTimeout = loop.schedule(this::fail, READ_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        /** Ends the call without a report to the listener. */
        void close() {
            closed = true;
            readTimeout.cancel(false);
            if (channel != null) {
                channel.close();
            } else if (dial != null) {
                dial.cancel();
            }
        }

        /** Ends the call, unless it has ended, and opens the watch again or reports the failure. */
        private void fail() {
            if (!closed) {
                close();
                if (watch == this) {
                    watch = null;
                }
                if (isWatch && keepWatchOpen) {
                    reopenWatchLater();
                } else {
                    listener.accept(ListUpdateType.FAILED, List.of());
                }
            }
        }

        /** The last known list stays in use meanwhile. Of failures in a row, only the first is logged. */
        private void reopenWatchLater() {
            if (retryDelayMs == MIN_RETRY_DELAY_MS) {
                System.err.println("discovery: watch at " + address + " broken, rev " + revision
                        + " holds");
            }
            loop.schedule(() -> {
                if (watch == null) {
                    watch(true);
                }
            }, retryDelayMs, TimeUnit.MILLISECONDS);
            retryDelayMs = Math.min(2 * retryDelayMs, MAX_RETRY_DELAY_MS);
        }

        private void responseReceived() {
            responded = true;
            retryDelayMs = MIN_RETRY_DELAY_MS;
            if (!everResponded) {
                everResponded = true;
                listener.accept(ListUpdateType.CACHED, cachedEntries);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) throws IOException {
            if (closed) {
                return;
            }
            restartReadTimeout();
            if (message.decoderResult().isFailure() || message instanceof HttpResponse response
                    && !response.status().equals(HttpResponseStatus.OK)) {
                fail();
                return;
            }
            if (message instanceof HttpContent content) {
                readLines(content.content());
                if (!closed && message instanceof LastHttpContent) {
                    if (!isWatch && line.size() > 0) {
                        parseLine();
                    }
                    if (isWatch || !responded) {
                        fail();
                    } else {
                        close();
                    }
                }
            }
        }

        private void readLines(ByteBuf bytes) throws IOException {
            while (bytes.isReadable() && !closed) {
                byte next = bytes.readByte();
                if (next != '\n') {
                    line.write(next);
                    if (line.size() > MAX_LINE_BYTES) {
                        fail();
                    }
                } else if (!line.toString(StandardCharsets.UTF_8).isBlank()) {
                    parseLine();
                } else if (isWatch && !responded) {
                    // An empty first line means that nothing has changed since the known revision.
                    responseReceived();
                    listener.accept(ListUpdateType.DELTA, List.of());
                }
            }
        }

        private void parseLine() throws IOException {
            JsonNode node = Config.JSON.readTree(line.toByteArray());
            line.reset();
            if (!node.path("rev").isIntegralNumber() || !node.path("targets").isArray()) {
                fail();
                return;
            }
            UpstreamList update = UpstreamList.of(node);
            revision = update.revision();
            responseReceived();
            listener.accept(update.full() ? ListUpdateType.FULL : ListUpdateType.DELTA, applyUpdate(update));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            String reason = cause instanceof JsonProcessingException invalidJson
                    ? invalidJson.getOriginalMessage() : cause.toString();
            System.err.println("discovery: answer not read, rev " + revision + " holds: " + reason);
            fail();
        }
    }
}
