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
 * Asks discovery for the list: a watch on its changes, or the whole once. Where changes are to come
 * unprompted, a watch is kept open from here; else the module decides when.
 */
final class DiscoveryClient {
    /** A call waits for up to 2 s and empty lines come every 2 s: longer silence is a break. */
    private static final long SILENCE_MS = 5_000;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int LONGEST_LINE = 4 << 20;
    /** Between a broken watch and the next; discovery's agent is on this machine and answers at no cost. */
    private static final long FIRST_WAIT_MS = 50;
    private static final long LONGEST_WAIT_MS = 800;

    /** One line of the list; names are still discovery's. */
    record ListEntry(String uid, InetSocketAddress endpoint, String zone, String kind, int cell,
            UpstreamState state, float weight, long startedMs) {

        /** An entry, or null where it can't be understood. */
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
     * A list or a change of it; {@code unread} are the names of entries that can't be understood, an empty
     * one if not even that can be read.
     */
    record UpstreamList(long rev, boolean all, List<ListEntry> targets, Set<String> unread) {
        static final UpstreamList NONE = new UpstreamList(0, true, List.of(), Set.of());

        static UpstreamList of(JsonNode node) {
            List<ListEntry> targets = new ArrayList<>();
            Set<String> unread = new HashSet<>();
            for (JsonNode each : node.path("targets")) {
                ListEntry target = ListEntry.of(each);
                if (target != null) {
                    targets.add(target);
                } else {
                    unread.add(each.path("uid").asText(""));
                }
            }
            return new UpstreamList(node.path("rev").asLong(), node.path("all").asBoolean(), targets, unread);
        }
    }

    private final EventLoop loop;
    private final Dialer dialer;
    private InetSocketAddress address;
    private final BiConsumer<ListUpdateType, List<ListEntry>> listener;
    private final Map<String, ListEntry> lastGood = new HashMap<>();
    private long rev;
    private Call watch;
    private boolean following;
    private long waitMs = FIRST_WAIT_MS;

    /** Tells {@code listener}, on the loop, of each answer and each failure of what the module asked for. */
    DiscoveryClient(EventLoop loop, InetSocketAddress address, UpstreamList known,
            BiConsumer<ListUpdateType, List<ListEntry>> listener) {
        this.loop = loop;
        this.dialer = new Dialer(loop, CONNECT_TIMEOUT_MS);
        this.address = address;
        this.rev = known.rev();
        remember(known);
        this.listener = listener;
    }

    /**
     * What a list says. A whole list still names those of its entries that can't be understood: what was last
     * understood of them holds, while those it does not name are gone. An entry without a name that can be
     * read may be any of those: all are kept then.
     */
    private List<ListEntry> remember(UpstreamList listing) {
        List<ListEntry> targets = new ArrayList<>(listing.targets());
        if (listing.all()) {
            Map<String, ListEntry> before = new HashMap<>(lastGood);
            targets.forEach(target -> before.remove(target.uid()));
            if (!listing.unread().contains("")) {
                before.keySet().retainAll(listing.unread());
            }
            targets.addAll(before.values());
            lastGood.clear();
        }
        for (ListEntry target : targets) {
            if (target.state() == UpstreamState.GONE) {
                lastGood.remove(target.uid());
            } else {
                lastGood.put(target.uid(), target);
            }
        }
        return targets;
    }

    /** Keeps a watch open from now on: the module is told of changes that it need not ask for. */
    void follow() {
        following = true;
        watch(true);
    }

    /** Follows changes from the last one known; a watch that is asked for again replaces the old one. */
    void watch(boolean on) {
        if (watch != null) {
            watch.close();
            watch = null;
        }
        if (on) {
            watch = new Call(true);
            watch.open();
        }
    }

    /** Goes on at another address, from the last version known; an open watch ends, as if it had broken. */
    void move(InetSocketAddress to) {
        address = to;
        waitMs = FIRST_WAIT_MS;
        if (following) {
            watch(true);
        } else if (watch != null) {
            watch.fail();
        }
    }

    /** Asks for the whole list once. */
    void fetch() {
        new Call(false).open();
    }

    private final class Call extends SimpleChannelInboundHandler<HttpObject> implements Dialer.Listener {
        private final boolean watching;
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private Dialer.Dial dial;
        private Channel channel;
        private Future<?> silence;
        private boolean answered;
        private boolean over;

        Call(boolean watching) {
            this.watching = watching;
        }

        void open() {
            heard();
            dial = dialer.dial(address, this);
        }

        @Override
        public void onConnected(Channel made) {
            channel = made;
            made.pipeline().addLast(new HttpClientCodec(), this);
            ask();
        }

        @Override
        public void onFailed(Throwable cause) {
            fail();
        }

        private void ask() {
            String path = "/discovery/hosts" + (watching ? "?watch=1&from=" + rev : "");
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    path);
            request.headers().set(HttpHeaderNames.HOST,
                    address.getAddress().getHostAddress() + ":" + address.getPort());
            channel.writeAndFlush(request);
        }

        private void heard() {
            if (silence != null) {
                silence.cancel(false);
            }
            silence = loop.schedule(this::fail, SILENCE_MS, TimeUnit.MILLISECONDS);
        }

        void close() {
            over = true;
            silence.cancel(false);
            if (channel != null) {
                channel.close();
            } else if (dial != null) {
                dial.cancel();
            }
        }

        private void fail() {
            if (!over) {
                close();
                if (watch == this) {
                    watch = null;
                }
                if (watching && following) {
                    followAgain();
                } else {
                    listener.accept(ListUpdateType.FAILED, List.of());
                }
            }
        }

        /** The list last known holds meanwhile; one line tells of a row of failures. */
        private void followAgain() {
            if (waitMs == FIRST_WAIT_MS) {
                System.err.println("discovery: watch at " + address + " broken, rev " + rev + " holds");
            }
            loop.schedule(() -> {
                if (watch == null) {
                    watch(true);
                }
            }, waitMs, TimeUnit.MILLISECONDS);
            waitMs = Math.min(2 * waitMs, LONGEST_WAIT_MS);
        }

        private void answered() {
            answered = true;
            waitMs = FIRST_WAIT_MS;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) throws IOException {
            if (over) {
                return;
            }
            heard();
            if (message.decoderResult().isFailure() || message instanceof HttpResponse response
                    && !response.status().equals(HttpResponseStatus.OK)) {
                fail();
                return;
            }
            if (message instanceof HttpContent content) {
                take(content.content());
                if (!over && message instanceof LastHttpContent) {
                    if (!watching && line.size() > 0) {
                        take();
                    }
                    if (watching || !answered) {
                        fail();
                    } else {
                        close();
                    }
                }
            }
        }

        private void take(ByteBuf bytes) throws IOException {
            while (bytes.isReadable() && !over) {
                byte next = bytes.readByte();
                if (next != '\n') {
                    line.write(next);
                    if (line.size() > LONGEST_LINE) {
                        fail();
                    }
                } else if (!line.toString(StandardCharsets.UTF_8).isBlank()) {
                    take();
                } else if (watching && !answered) {
                    // Nothing has changed since the version known: that, too, is the watch's answer.
                    answered();
                    listener.accept(ListUpdateType.DELTA, List.of());
                }
            }
        }

        private void take() throws IOException {
            JsonNode node = Config.JSON.readTree(line.toByteArray());
            line.reset();
            if (!node.path("rev").isIntegralNumber() || !node.path("targets").isArray()) {
                fail();
                return;
            }
            UpstreamList listing = UpstreamList.of(node);
            rev = listing.rev();
            answered();
            listener.accept(listing.all() ? ListUpdateType.FULL : ListUpdateType.DELTA, remember(listing));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            String why = cause instanceof JsonProcessingException odd ? odd.getOriginalMessage()
                    : cause.toString();
            System.err.println("discovery: answer not read, rev " + rev + " holds: " + why);
            fail();
        }
    }
}
