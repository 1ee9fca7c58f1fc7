package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class RequestDispatcherTest {
    /** Counts its answers; its connection is gone. */
    private static final class GoneClient implements RequestDispatcher.ClientCallback {
        private final AtomicInteger answers = new AtomicInteger();

        @Override
        public boolean isConnected() {
            return false;
        }

        @Override
        public void onServed(RequestDispatcher.UpstreamResponse answer) {
            answers.incrementAndGet();
        }

        @Override
        public void onRefused(long wait) {
            answers.incrementAndGet();
        }

        @Override
        public void onFailed() {
            answers.incrementAndGet();
        }
    }

    /** A request whose attempt was blocked, since its client had left, was kept forever. */
    @Test
    void aRequestWithABlockedAttemptWasKeptForever() throws Exception {
        HttpHeaders headers = new DefaultHttpHeaders().add("Req-Id", "a").add("Req-Kind", "look");
        RequestDispatcher.ClientRequest clientRequest = new RequestDispatcher.ClientRequest(0, 0, 0, 0,
                SidecarHarness.LONG_MS, 0, false, HttpMethod.GET, "/api/a", headers, new byte[0]);
        GoneClient client = new GoneClient();
        try (FakeUpstream upstream = FakeUpstream.serving("x");
                SidecarHarness harness = SidecarHarness.with(upstream)) {
            harness.loop.submit(() -> harness.dispatcher.submit(clientRequest, client)).sync();
            long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
            while (harness.loop.submit(harness.dispatcher::pendingRequestCount).get() > 0
                    && System.nanoTime() < giveUpAt) {
                Thread.sleep(10);
            }
            assertEquals(0, harness.loop.submit(harness.dispatcher::pendingRequestCount).get(),
                    "requests still held");
            assertEquals(1, client.answers.get(), "one answer");
            assertEquals(0, upstream.heads.size(), "nothing is sent for a client that has left");
        }
    }
}
