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

/** The answers that clients get. */
final class Responses {
    private static final int NANO_SCALE = 9;
    private static final int MILLI_SCALE = 3;

    private Responses() { }

    /** A status with a line of text. */
    static FullHttpResponse plain(HttpResponseStatus status, String text) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        return response;
    }

    /** An upstream's answer. */
    static FullHttpResponse served(RequestDispatcher.UpstreamResponse answer) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
                Unpooled.wrappedBuffer(answer.body()));
        HeaderFilter.copyEndToEnd(answer.headers(), response.headers());
        return response;
    }

    /** A refusal; {@code wait} in nanoseconds tells when to try again, 0 says nothing of it. */
    static FullHttpResponse refused(long wait) {
        FullHttpResponse response = plain(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused");
        if (wait > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, BigDecimal.valueOf(wait, NANO_SCALE)
                    .setScale(MILLI_SCALE, RoundingMode.UP).toPlainString());
        }
        return response;
    }
}
