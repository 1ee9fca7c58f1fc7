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
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * One HTTP call of discovery on a connection of its own: a watch, or a fetch of the whole list. Ends with one
 * call of {@link Listener#failed}, unless it is closed or, as a fetch, has received its list.
 *
 * <p>Used on the event loop only.
 */
final class DiscoveryCall extends SimpleChannelInboundHandler<HttpObject> implements Dialer.Listener {
    /** A call fails if nothing is received for this long. */
    private static final long READ_TIMEOUT_MS = 5_000;
    /**
     * A call without a response is reported as silent after this time. Another one that is answered within
     * 2 s then still comes before a sidecar counts as told, which is 4 s after a new address.
     */
    private static final long RESPONSE_SILENCE_MS = 1_500;
    /** The same for a watch that has responded. Discovery sends an empty line every 2 s. */
    private static final long WATCH_SILENCE_MS = 3_000;

    /** Receives what a call brings, on the event loop. */
    interface Listener {
        /** An empty line of a watch: nothing has changed since the last line, or since the known revision. */
        void unchanged(DiscoveryCall call);

        /** A whole list, or a change of the last one. */
        void updateReceived(DiscoveryCall call, DiscoveryClient.UpstreamList update);

        /** A watch has been silent for a while. It stays open, and may still bring something. */
        void silent(DiscoveryCall call);

        /** The call has failed, and its connection is closed. */
        void failed(DiscoveryCall call);
    }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final boolean isWatch;
    private final String path;
    private final Listener listener;
    private final JsonFramer framer = new JsonFramer();
    private Dialer.Dial dial;
    private Channel channel;
    private Future<?> readTimeout;
    private Future<?> silenceTimer;
    /** Whether a list, a change or, on a watch, an empty line has been received. */
    private boolean responded;
    private boolean closed;

    private DiscoveryCall(EventLoop loop, InetSocketAddress address, boolean isWatch, String path,
            Listener listener) {
        this.loop = loop;
        this.address = address;
        this.isWatch = isWatch;
        this.path = path;
        this.listener = listener;
    }

    /** Creates a watch on the changes after a revision. */
    static DiscoveryCall watch(EventLoop loop, InetSocketAddress address, long revision, Listener listener) {
        return new DiscoveryCall(loop, address, true, "/discovery/hosts?watch=1&from=" + revision, listener);
    }

    /** Creates a fetch of the whole list. */
    static DiscoveryCall fetch(EventLoop loop, InetSocketAddress address, Listener listener) {
        return new DiscoveryCall(loop, address, false, "/discovery/hosts", listener);
    }

    /** Begins the call. The listener may be called before this method returns. */
    void open(Dialer dialer) {
        restartTimers();
        dial = dialer.dial(address, this);
    }

    /** Ends the call without a report to the listener. */
    void close() {
        closed = true;
        cancelTimers();
        if (channel != null) {
            channel.close();
        } else if (dial != null) {
            dial.cancel();
        }
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
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                path);
        request.headers().set(HttpHeaderNames.HOST,
                address.getAddress().getHostAddress() + ":" + address.getPort());
        channel.writeAndFlush(request);
    }

    private void restartTimers() {
        if (readTimeout != null) {
            cancelTimers();
        }
        readTimeout = loop.schedule(this::fail, READ_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        silenceTimer = loop.schedule(this::reportSilence,
                responded ? WATCH_SILENCE_MS : RESPONSE_SILENCE_MS, TimeUnit.MILLISECONDS);
    }

    private void cancelTimers() {
        readTimeout.cancel(false);
        silenceTimer.cancel(false);
    }

    private void reportSilence() {
        if (isWatch && !closed) {
            listener.silent(this);
        }
    }

    private void fail() {
        if (!closed) {
            close();
            listener.failed(this);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) throws IOException {
        if (closed) {
            return;
        }
        if (message.decoderResult().isFailure() || message instanceof HttpResponse response
                && !response.status().equals(HttpResponseStatus.OK)) {
            fail();
            return;
        }
        if (message instanceof HttpContent content) {
            readMessages(content.content());
            if (!closed && message instanceof LastHttpContent) {
                endOfResponse();
            }
        }
        if (!closed) {
            restartTimers();
        }
    }

    private void readMessages(ByteBuf bytes) throws IOException {
        while (bytes.isReadable() && !closed) {
            switch (framer.add(bytes.readByte())) {
                case EMPTY_LINE -> emptyLine();
                case OBJECT -> parse(framer.take());
                case INVALID -> fail();
                default -> { }
            }
        }
    }

    private void emptyLine() {
        if (isWatch) {
            responded = true;
            listener.unchanged(this);
        }
    }

    private void endOfResponse() throws IOException {
        if (!isWatch && !framer.isEmpty()) {
            parse(framer.take());
        }
        if (isWatch || !responded) {
            fail();
        } else {
            close();
        }
    }

    private void parse(byte[] message) throws IOException {
        JsonNode node = Config.JSON.readTree(message);
        if (!node.path("rev").isIntegralNumber() || !node.path("targets").isArray()) {
            fail();
            return;
        }
        responded = true;
        listener.updateReceived(this, DiscoveryClient.UpstreamList.of(node));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        String reason = cause instanceof JsonProcessingException invalidJson
                ? invalidJson.getOriginalMessage() : cause.toString();
        System.err.println("discovery: answer not read, the last list holds: " + reason);
        fail();
    }
}
