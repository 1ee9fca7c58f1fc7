package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.lang.ref.WeakReference;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Submits requests to the dispatcher directly, without a connection to a client. */
class RequestDispatcherTest {
    /** A client that has disconnected; counts the responses it is given. */
    private static final class DisconnectedClient implements RequestDispatcher.ClientCallback {
        private final AtomicInteger responses = new AtomicInteger();

        @Override
        public boolean isConnected() {
            return false;
        }

        @Override
        public void onServed(RequestDispatcher.UpstreamResponse response) {
            responses.incrementAndGet();
        }

        @Override
        public void onRefused(long retryAfterNanos) {
            responses.incrementAndGet();
        }

        @Override
        public void onFailed() {
            responses.incrementAndGet();
        }
    }

    /**
     * The guard blocks an attempt when its client has disconnected. The request must be removed all the same;
     * it used to be kept forever.
     */
    @Test
    void requestWithBlockedAttemptIsRemoved() throws Exception {
        DisconnectedClient client = new DisconnectedClient();
        try (FakeUpstream upstream = FakeUpstream.serving("x");
                SidecarHarness harness = SidecarHarness.with(upstream)) {
            submit(harness, new byte[0], client);
            awaitNoPendingRequest(harness);
            assertEquals(1, client.responses.get(), "responses");
            assertEquals(0, upstream.heads.size(), "requests sent upstream for a disconnected client");
        }
    }

    /**
     * The timer for a request's deadline was never cancelled, and kept the body after the request had ended.
     */
    @Test
    void bodiesOfEndedRequestsWereKeptUntilTheirDeadlines() throws Exception {
        try (FakeUpstream upstream = FakeUpstream.serving("x");
                SidecarHarness harness = SidecarHarness.with(upstream)) {
            byte[] body = new byte[1 << 16];
            WeakReference<byte[]> kept = new WeakReference<>(body);
            submit(harness, body, new DisconnectedClient());
            awaitNoPendingRequest(harness);
            body = null;
            long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
            while (kept.get() != null && System.nanoTime() < giveUpAt) {
                System.gc();
                Thread.sleep(20);
            }
            assertTrue(kept.get() == null, "the body is still in memory, long before the deadline");
        }
    }

    private static void submit(SidecarHarness harness, byte[] body, DisconnectedClient client)
            throws InterruptedException {
        HttpHeaders headers = new DefaultHttpHeaders().add("Req-Id", "a").add("Req-Kind", "look");
        RequestDispatcher.ClientRequest clientRequest = new RequestDispatcher.ClientRequest(0, 0, 0, 0,
                SidecarHarness.DEADLINE_MS, 0, false, HttpMethod.GET, "/api/a", headers, body,
                harness.dispatcher.memoryBudget().openRequest());
        harness.loop.submit(() -> harness.dispatcher.submit(clientRequest, client)).sync();
    }

    private static void awaitNoPendingRequest(SidecarHarness harness) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (harness.loop.submit(harness.dispatcher::pendingRequestCount).get() > 0
                && System.nanoTime() < deadline) {
            Thread.sleep(10);
        }
        assertEquals(0, harness.loop.submit(harness.dispatcher::pendingRequestCount).get(),
                "pending requests");
    }
}
