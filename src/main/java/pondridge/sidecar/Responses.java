package pondridge.sidecar;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.nio.charset.StandardCharsets;

/** Builds the responses to clients; used by {@link ClientConnection} on the event loop. */
final class Responses {
    /** Decimal places of a time in seconds that is given in nanoseconds. */
    private static final int NANO_SCALE = 9;
    /** Decimal places of {@code Retry-After}, which is in seconds. */
    private static final int MILLI_SCALE = 3;

    private Responses() { }

    /** A response with a plain text body. */
    static FullHttpResponse plainText(HttpResponseStatus status, String text) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        return response;
    }

    /** An upstream's response, without the headers that concern only its connection. */
    static FullHttpResponse served(RequestDispatcher.UpstreamResponse upstreamResponse) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
                Unpooled.wrappedBuffer(upstreamResponse.body()));
        HeaderFilter.copyEndToEnd(upstreamResponse.headers(), response.headers());
        return response;
    }

    /**
     * A refusal, after which a client retry is safe.
     *
     * @param retryAfterNanos after which time to retry; 0 for a response without {@code Retry-After}
     */
    static FullHttpResponse refused(long retryAfterNanos) {
        FullHttpResponse response = plainText(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused");
        if (retryAfterNanos > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER,
                    BigDecimal.valueOf(retryAfterNanos, NANO_SCALE)
                    .setScale(MILLI_SCALE, RoundingMode.UP).toPlainString());
        }
        return response;
    }
}
