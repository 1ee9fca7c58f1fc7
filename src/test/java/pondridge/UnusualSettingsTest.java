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

/** Settings far from the three deployments: bare hosts, lone servers, large and vanishing lists. */
class UnusualSettingsTest {

    /** A host that allows nothing but sending, with the given try limit. */
    private static RecordingHost bare(int tryLimit, RequestClass... classes) {
        Capabilities allowed = new Capabilities(false, false, false, false, false, tryLimit, 0, 0);
        Limits limits = new Limits(20 * MS, 10_000 * MS, 250 * MS, 1, 0, 1, 0);
        return new RecordingHost(new Settings(0, 1, 0, 0, DiscoveryMode.AUTOMATIC, WeightMode.SILENT,
                List.of(classes), List.of(), allowed, limits, List.of(), Balancer.Costs.NONE, true, 0), 5);
    }

    @Test
    void oneServerTakesAllInTurnAndIsTriedAgainWhenItReturns() {
        RecordingHost host = bare(3, RecordingHost.ONCE).withUpstreams(1);
        host.serveSequentially(0, 50, 0, 10 * MS);
        assertEquals(50, host.attempts.size());
        host.request(100, 0);
        host.endAttempt(host.lastAttempt(), Outcome.CONNECT_FAILED);
        assertEquals(List.of("refuse 100"), host.finalResponses, "no other server, and it never ran");
        host.advance(2_000 * MS);
        host.request(101, 0);
        assertEquals(101, host.lastAttempt().request());
    }

    @Test
    void manyServersAllGetTheirTurn() {
        RecordingHost host = bare(3, RecordingHost.REPEATABLE).withUpstreams(500);
        host.serveSequentially(0, 500, 0, MS);
        assertEquals(500,
                host.attempts.stream().mapToLong(RecordingHost.Attempt::upstream).distinct().count());
    }

    @Test
    void aTryLimitOfOneMeansNoFurtherAttempt() {
        RecordingHost host = bare(1, RecordingHost.REPEATABLE).withUpstreams(3);
        host.request(1, 0);
        host.endAttempt(host.lastAttempt(), Outcome.REJECTED);
        assertEquals(1, host.attempts.size());
        assertEquals(List.of("refuse 1"), host.finalResponses);
    }

    @Test
    void whatTheHostDoesNotAllowIsNeverAskedFor() {
        RecordingHost host = bare(3, RecordingHost.REPEATABLE, RecordingHost.ONCE).withUpstreams(2);
        for (int i = 0; i < 40; i++) {
            host.request(i, i % 2);
        }
        host.rules.clientDisconnected(host.now, host.lastAttempt().request());
        host.advance(3_000 * MS);
        assertTrue(host.log.stream().noneMatch(l -> l.matches("(cancel|probe|sendToPeer|close).*")),
                "unasked");
        assertTrue(host.log.stream().anyMatch(l -> l.startsWith("refuse")));
        assertTrue(host.log.stream().noneMatch(l -> l.matches("refuse \\d+ [1-9].*")), "no wait is told");
    }

    @Test
    void aListThatEmptiesAndRefillsStartsAfresh() {
        RecordingHost host = bare(3, RecordingHost.REPEATABLE).withUpstreams(4);
        host.serveSequentially(0, 20, 0, 10 * MS);
        host.rules.listUpdated(host.now, ListUpdateType.FULL, List.of());
        host.request(100, 0);
        assertEquals(List.of("refuse 100"), host.finalResponses, "nothing ready");
        host.withUpstreams(4);
        host.request(101, 0);
        assertEquals(101, host.lastAttempt().request());
    }

    @Test
    void aLoadReportIsNoPartOfThePick() {
        RecordingHost one = bare(3, RecordingHost.REPEATABLE).withUpstreams(5);
        RecordingHost other = bare(3, RecordingHost.REPEATABLE).withUpstreams(5);
        for (int i = 0; i < 30; i++) {
            one.request(i, 0);
            other.request(i, 0);
            one.advance(MS);
            other.advance(MS);
            RecordingHost.Attempt sent = one.lastAttempt();
            one.rules.attemptEnded(one.now, i, 0, sent.upstream(), Outcome.OK, MS, true, new float[0]);
            float[] report = {9, -1, 7e9f};
            other.rules.attemptEnded(other.now, i, 0, sent.upstream(), Outcome.OK, MS, true, report);
        }
        assertEquals(one.log, other.log);
    }

    @Test
    void aStreamThatHasBegunIsNeitherSentAgainNorCutAtTheDeadline() {
        RequestClass stream =
                new RequestClass(500 * MS, 0, 1_000 * MS, 1, 0, Semantics.REPEATABLE, KeyScope.ALL, 0, true);
        RecordingHost host = new RecordingHost(RecordingHost.settings(stream), 3).withUpstreams(3);
        host.request(1, 0);
        RecordingHost.Attempt sent = host.lastAttempt();
        host.advance(100 * MS);
        host.rules.firstByte(host.now, 1, 0, sent.upstream(), 100 * MS);
        host.advance(2_000 * MS);
        assertEquals(List.of(), host.finalResponses);
        host.endAttempt(sent, Outcome.RESET);
        assertEquals(1, host.attempts.size());
        assertEquals(List.of("refuse 1"), host.finalResponses,
                "a repeatable request may be tried by its client");
    }

    @Test
    void onceAloneIsNeverSentTwiceOnDoubt() {
        for (Outcome doubt : List.of(Outcome.TIMEOUT, Outcome.RESET, Outcome.ERROR)) {
            RecordingHost host = bare(3, RecordingHost.ONCE).withUpstreams(6);
            host.request(doubt.ordinal(), 0);
            host.endAttempt(host.lastAttempt(), doubt);
            assertEquals(1, host.attemptsOf(doubt.ordinal()).size(), doubt.name());
        }
    }

    @Test
    void drainingEverywhereStopsAllNewWork() {
        RecordingHost host = bare(3, RecordingHost.REPEATABLE).withUpstreams(2);
        host.rules.listUpdated(host.now, ListUpdateType.DELTA, List.of(
                RecordingHost.upstream(0, UpstreamState.DRAINING, 0),
                RecordingHost.upstream(1, UpstreamState.DRAINING, 0)));
        host.request(1, 0);
        assertEquals(0, host.attempts.size());
        assertEquals(List.of("refuse 1"), host.finalResponses);
    }
}
