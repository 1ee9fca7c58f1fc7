package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Requests that arrive while the event loop of a real sidecar is stalled. */
class StalledRequestTest {
    /**
     * A request that was left unread while the event loop was stalled has less time left than usual. It used
     * to be taken for a client retry and refused as too late.
     */
    @Test
    void requestUnreadDuringAStallIsNotTakenForAClientRetry() throws Exception {
        try (FakeUpstream upstream = FakeUpstream.serving("x")) {
            ObjectNode json = SidecarHarness.configJson(upstream);
            // Requests come with half of their class's deadline. For a client retry the other half counts as
            // elapsed, which is longer than the latency target.
            ((ObjectNode) json.at("/settings/profiles/0")).put("slo", 5_000_000_000L);
            String request = SidecarHarness.safeRequest("a")
                    .replace("Req-Deadline-Ms: 20000", "Req-Deadline-Ms: 10000");
            try (SidecarHarness harness = new SidecarHarness(json);
                    SidecarHarness.Client client = new SidecarHarness.Client(harness.address)) {
                for (int i = 0; i < 5; i++) {
                    assertEquals(200, client.exchange(request).status());
                }
                CountDownLatch resume = new CountDownLatch(1);
                harness.stallLoop(resume);
                FakeUpstream.write(client.socket, request);
                Thread.sleep(300);
                resume.countDown();
                assertEquals(200, client.readResponse().status());
            }
        }
    }
}
