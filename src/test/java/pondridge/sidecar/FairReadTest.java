package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** A client that has sent much at once, beside others. */
class FairReadTest {
    private static final String UNSOUND_REQUEST = "GET /api/x HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final int REQUESTS = 4_000;
    /** What a connection may bring in one poll, so that decoding it takes some milliseconds at most. */
    private static final int MAX_BYTES_PER_POLL = 16 << 10;
    /** More than the objects of one queued request take. */
    private static final int MAX_BYTES_PER_REQUEST = 2 << 10;

    /** Measures on the event loop, between its polls, by how much the memory held grows in one poll. */
    private static final class GrowthMeter implements Runnable {
        private final SidecarHarness harness;
        private final MemoryBudget budget;
        private long previous;
        private long maxGrowth;
        private boolean stopped;

        GrowthMeter(SidecarHarness harness) {
            this.harness = harness;
            this.budget = harness.dispatcher.memoryBudget();
        }

        @Override
        public void run() {
            maxGrowth = Math.max(maxGrowth, budget.used() - previous);
            previous = budget.used();
            if (!stopped) {
                harness.loop.execute(this);
            }
        }
    }

    /** All that one client had sent was decoded, up to 4,096 requests, before anybody else's turn. */
    @Test
    void oneClientsRequestsWereAllDecodedBeforeAnybodyElsesTurn() throws Exception {
        CountDownLatch resume = new CountDownLatch(1);
        try (FakeUpstream upstream = FakeUpstream.serving("x");
                SidecarHarness harness = SidecarHarness.with(upstream);
                SidecarHarness.Client sender = new SidecarHarness.Client(harness.address)) {
            assertEquals(400, sender.exchange(UNSOUND_REQUEST).status());
            GrowthMeter meter = new GrowthMeter(harness);
            harness.loop.submit(meter).sync();
            harness.stallLoop(resume);
            FakeUpstream.write(sender.socket, UNSOUND_REQUEST.repeat(REQUESTS));
            resume.countDown();
            for (int i = 0; i < REQUESTS; i++) {
                assertEquals(400, sender.readResponse().status());
            }
            harness.loop.submit(() -> meter.stopped = true).sync();
            long maxExpected = (long) MAX_BYTES_PER_POLL / UNSOUND_REQUEST.length() * MAX_BYTES_PER_REQUEST;
            assertTrue(meter.maxGrowth <= maxExpected,
                    "one poll added " + meter.maxGrowth + " bytes, expected at most " + maxExpected);
            assertEquals(200, harness.exchange(SidecarHarness.safeRequest("a")).status());
        }
    }
}
