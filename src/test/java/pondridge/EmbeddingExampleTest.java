package pondridge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.ListUpdateType;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.Request;
import pondridge.Balancer.Upstream;
import pondridge.Balancer.UpstreamState;

/**
 * An example of how a host embeds the balancer: it reports events, carries out the actions, and creates a new
 * balancer after a restart.
 */
class EmbeddingExampleTest {

    @Test
    void hostDrivesTheBalancer() {
        // The host carries out the actions of the balancer; this one only records them.
        RecordingHost host = new RecordingHost(RecordingHost.settings(RecordingHost.REPEATABLE), 42);
        Balancer balancer = host.rules;
        long now = host.now;

        balancer.listUpdated(now, ListUpdateType.CACHED, List.of(
                new Upstream(1, 0, 0, 0, UpstreamState.READY, 1, 0),
                new Upstream(2, 0, 0, 0, UpstreamState.READY, 1, 0)));
        balancer.requestArrived(now, new Request(100, 0, 0, 0, 1_000_000_000L, 0, 0, false, false));
        RecordingHost.Attempt sent = host.lastAttempt();
        assertEquals(100, sent.request());

        now += 20_000_000;
        balancer.attemptEnded(now, 100, 0, sent.upstream(), Outcome.OK, 20_000_000, true, new float[0]);
        assertTrue(host.finalResponses.isEmpty(), "the host passed the response on; no other one is due");

        // After a restart: a new instance with a new seed and no state.
        RecordingHost restarted = new RecordingHost(RecordingHost.settings(RecordingHost.REPEATABLE), 43);
        restarted.rules.listUpdated(now, ListUpdateType.CACHED, List.of());
        restarted.request(101, 0);
        assertEquals(List.of("refuse 101"), restarted.finalResponses);
    }
}
