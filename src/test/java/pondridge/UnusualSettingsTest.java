package pondridge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pondridge.RecordingHost.MS;

import java.util.List;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.Capabilities;
import pondridge.Balancer.DiscoveryMode;
import pondridge.Balancer.KeyScope;
import pondridge.Balancer.Limits;
import pondridge.Balancer.ListUpdateType;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.Semantics;
import pondridge.Balancer.Settings;
import pondridge.Balancer.UpstreamState;
import pondridge.Balancer.WeightMode;

/** Checks {@link Rules} with unusual settings: minimal hosts, a single upstream, long and empty lists. */
class UnusualSettingsTest {

    /** A host that offers no optional capability, with slow start off and the given limit of attempts. */
    private static RecordingHost minimalHost(int maxAttempts, RequestClass... classes) {
        Capabilities capabilities = new Capabilities(false, false, false, false, false, maxAttempts, 0, 0);
        Limits limits = new Limits(20 * MS, 10_000 * MS, 250 * MS, 1, 0, 1, 0);
        return new RecordingHost(new Settings(0, 1, 0, 0, DiscoveryMode.AUTOMATIC, WeightMode.SILENT,
                List.of(classes), List.of(), capabilities, limits, List.of(), Balancer.Costs.NONE,
                true, 0), 5);
    }

    @Test
    void singleUpstreamGetsAllRequestsEvenAfterAConnectFailure() {
        RecordingHost host = minimalHost(3, RecordingHost.ONCE).withUpstreams(1);
        host.serveSequentially(0, 50, 0, 10 * MS);
        assertEquals(50, host.attempts.size());
        host.request(100, 0);
        host.endAttempt(host.lastAttempt(), Outcome.CONNECT_FAILED);
        assertEquals(List.of("refuse 100"), host.finalResponses,
                "no other upstream, and the attempt never ran");
        host.advance(2_000 * MS);
        host.request(101, 0);
        assertEquals(101, host.lastAttempt().request());
    }

    @Test
    void eachOf500UpstreamsGetsARequest() {
        RecordingHost host = minimalHost(3, RecordingHost.REPEATABLE).withUpstreams(500);
        host.serveSequentially(0, 500, 0, MS);
        assertEquals(500,
                host.attempts.stream().mapToLong(RecordingHost.Attempt::upstream).distinct().count());
    }

    @Test
    void noSecondAttemptIfMaxAttemptsIsOne() {
        RecordingHost host = minimalHost(1, RecordingHost.REPEATABLE).withUpstreams(3);
        host.request(1, 0);
        host.endAttempt(host.lastAttempt(), Outcome.REJECTED);
        assertEquals(1, host.attempts.size());
        assertEquals(List.of("refuse 1"), host.finalResponses);
    }

    @Test
    void actionsThatTheHostDoesNotAllowAreNeverOrdered() {
        RecordingHost host = minimalHost(3, RecordingHost.REPEATABLE, RecordingHost.ONCE).withUpstreams(2);
        for (int i = 0; i < 40; i++) {
            host.request(i, i % 2);
        }
        host.rules.clientDisconnected(host.now, host.lastAttempt().request());
        host.advance(3_000 * MS);
        assertTrue(host.log.stream().noneMatch(line -> line.matches("(cancel|probe|peerMessage|close).*")),
                "action that the host does not allow");
        assertTrue(host.log.stream().anyMatch(line -> line.startsWith("refuse")));
        assertTrue(host.log.stream().noneMatch(line -> line.matches("refuse \\d+ [1-9].*")),
                "refusal with a retry-after");
    }

    @Test
    void requestsAreSentAgainAfterTheListWasEmpty() {
        RecordingHost host = minimalHost(3, RecordingHost.REPEATABLE).withUpstreams(4);
        host.serveSequentially(0, 20, 0, 10 * MS);
        host.rules.listUpdated(host.now, ListUpdateType.FULL, List.of());
        host.request(100, 0);
        assertEquals(List.of("refuse 100"), host.finalResponses, "no upstream is ready");
        host.withUpstreams(4);
        host.request(101, 0);
        assertEquals(101, host.lastAttempt().request());
    }

    @Test
    void loadReportsInResponsesDoNotAffectDecisions() {
        RecordingHost hostWithoutLoad = minimalHost(3, RecordingHost.REPEATABLE).withUpstreams(5);
        RecordingHost hostWithLoad = minimalHost(3, RecordingHost.REPEATABLE).withUpstreams(5);
        for (int i = 0; i < 30; i++) {
            hostWithoutLoad.request(i, 0);
            hostWithLoad.request(i, 0);
            hostWithoutLoad.advance(MS);
            hostWithLoad.advance(MS);
            RecordingHost.Attempt attempt = hostWithoutLoad.lastAttempt();
            hostWithoutLoad.rules.attemptEnded(hostWithoutLoad.now, i, 0, attempt.upstream(), Outcome.OK,
                    MS, true, new float[0]);
            float[] report = {9, -1, 7e9f};
            hostWithLoad.rules.attemptEnded(hostWithLoad.now, i, 0, attempt.upstream(), Outcome.OK,
                    MS, true, report);
        }
        assertEquals(hostWithoutLoad.log, hostWithLoad.log);
    }

    @Test
    void startedStreamIsNeitherSentAgainNorEndedAtTheDeadline() {
        RequestClass stream =
                new RequestClass(500 * MS, 0, 1_000 * MS, 1, 0, Semantics.REPEATABLE, KeyScope.ALL, 0, true);
        RecordingHost host = new RecordingHost(RecordingHost.settings(stream), 3).withUpstreams(3);
        host.request(1, 0);
        RecordingHost.Attempt attempt = host.lastAttempt();
        host.advance(100 * MS);
        host.rules.firstByte(host.now, 1, 0, attempt.upstream(), 100 * MS);
        host.advance(2_000 * MS);
        assertEquals(List.of(), host.finalResponses);
        host.endAttempt(attempt, Outcome.RESET);
        assertEquals(1, host.attempts.size());
        assertEquals(List.of("refuse 1"), host.finalResponses,
                "a retry by the client is safe for a repeatable request");
    }

    @Test
    void onceRequestIsNotSentAgainAfterAnAttemptThatMayHaveRun() {
        for (Outcome outcome : List.of(Outcome.TIMEOUT, Outcome.RESET, Outcome.ERROR)) {
            RecordingHost host = minimalHost(3, RecordingHost.ONCE).withUpstreams(6);
            host.request(outcome.ordinal(), 0);
            host.endAttempt(host.lastAttempt(), outcome);
            assertEquals(1, host.attemptsOf(outcome.ordinal()).size(), outcome.name());
        }
    }

    @Test
    void requestIsRefusedWhenAllUpstreamsAreDraining() {
        RecordingHost host = minimalHost(3, RecordingHost.REPEATABLE).withUpstreams(2);
        host.rules.listUpdated(host.now, ListUpdateType.DELTA, List.of(
                RecordingHost.upstream(0, UpstreamState.DRAINING, 0),
                RecordingHost.upstream(1, UpstreamState.DRAINING, 0)));
        host.request(1, 0);
        assertEquals(0, host.attempts.size());
        assertEquals(List.of("refuse 1"), host.finalResponses);
    }
}
