package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class WaitedRequestTest {
    /** What had lain unread for a moment was taken for a client's last try, and refused as too late. */
    @Test
    void aRequestBehindAStallWasRefusedAsALaterTry() throws Exception {
        try (FakeUpstream upstream = FakeUpstream.serving("x")) {
            ObjectNode json = SidecarHarness.json(upstream);
            // First tries have half of the deadline; the aim is shorter than the other half.
            ((ObjectNode) json.at("/settings/profiles/0")).put("slo", 5_000_000_000L);
            String request = SidecarHarness.look("a")
                    .replace("Req-Deadline-Ms: 20000", "Req-Deadline-Ms: 10000");
            try (SidecarHarness harness = new SidecarHarness(json);
                    SidecarHarness.Client client = new SidecarHarness.Client(harness.address)) {
                for (int i = 0; i < 5; i++) {
                    assertEquals(200, client.ask(request).status());
                }
                CountDownLatch go = new CountDownLatch(1);
                harness.stall(go);
                FakeUpstream.write(client.socket, request);
                Thread.sleep(300);
                go.countDown();
                assertEquals(200, client.read().status());
            }
        }
    }
}
