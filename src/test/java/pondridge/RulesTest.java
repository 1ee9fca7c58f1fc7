package pondridge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pondridge.RecordingHost.BY_KEY_ALL;
import static pondridge.RecordingHost.BY_KEY_CELL;
import static pondridge.RecordingHost.MS;
import static pondridge.RecordingHost.ONCE;
import static pondridge.RecordingHost.REPEATABLE;
import static pondridge.RecordingHost.rareRenewalSettings;
import static pondridge.RecordingHost.settings;
import static pondridge.RecordingHost.upstream;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.DiscoveryMode;
import pondridge.Balancer.KeyScope;
import pondridge.Balancer.ListUpdateType;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.Request;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.Semantics;
import pondridge.Balancer.UpstreamState;

/** Checks which actions {@link Rules} orders for fixed sequences of events. */
class RulesTest {
    /** A list counts as told 6 s after discovery could be reached, and its response may take 2 s. */
    private static final long MAX_SUBSCRIPTION_DELAY_MS = 4_000;

    /** A host with the default settings, a fixed seed and no upstreams yet. */
    private static RecordingHost host(Balancer.RequestClass... classes) {
        return new RecordingHost(settings(classes), 7);
    }

    /** The upstreams of {@code count} requests in order; each attempt ends before the next request. */
    private static List<Long> pickOrder(RecordingHost host, int count, long firstId) {
        List<Long> order = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            host.request(firstId + i, 0);
            order.add(host.lastAttempt().upstream());
            host.advance(MS);
            host.endAttempt(host.lastAttempt(), Outcome.OK);
        }
        return order;
    }

    // ---------------------------------------------------------------- round robin

    @Test
    void requestsCycleThroughAllUpstreamsInAFixedOrderWhileNoneIsBusier() {
        RecordingHost host = host(REPEATABLE).withUpstreams(5);
        List<Long> first = pickOrder(host, 5, 0);
        assertEquals(5, new HashSet<>(first).size());
        assertEquals(first, pickOrder(host, 5, 5));
        assertEquals(first, pickOrder(host, 5, 10));
    }

    @Test
    void everyOrderIsAboutEquallyLikely() {
        Map<List<Long>, Integer> seen = new HashMap<>();
        for (int seed = 0; seed < 6_000; seed++) {
            RecordingHost host = new RecordingHost(settings(REPEATABLE), seed).withUpstreams(3);
            seen.merge(pickOrder(host, 3, 0), 1, Integer::sum);
        }
        assertEquals(6, seen.size());
        // Each is expected 1000 times; 150 is more than five standard deviations.
        seen.values().forEach(count -> assertTrue(Math.abs(count - 1_000) < 150, seen.toString()));
    }

    @Test
    void lessBusyOfTheNextTwoUpstreamsIsChosen() {
        RecordingHost host = host(REPEATABLE).withUpstreams(3);
        List<Long> order = pickOrder(host, 3, 0);
        host.request(10, 0);
        assertEquals(order.get(0), host.lastAttempt().upstream());
        host.request(11, 0);
        host.request(12, 0);
        assertEquals(order.get(2), host.lastAttempt().upstream());
        host.endAttempt(host.attemptsOf(11).get(0), Outcome.OK);
        host.request(13, 0);
        assertEquals(order.get(1), host.lastAttempt().upstream(),
                "the first in the cycle has an attempt in flight, the second has none");
    }

    @Test
    void orderIsRedrawnOnlyWhenTheReadyUpstreamsChange() {
        RecordingHost host = host(REPEATABLE).withUpstreams(8);
        List<Long> before = pickOrder(host, 8, 0);
        host.rules.listUpdated(host.now, ListUpdateType.DELTA, List.of(upstream(3)));
        assertEquals(before, pickOrder(host, 8, 20));
        host.rules.listUpdated(host.now, ListUpdateType.DELTA, List.of(upstream(3, UpstreamState.GONE, 0)));
        List<Long> after = pickOrder(host, 7, 40);
        assertFalse(after.contains(3L));
        before.remove(3L);
        assertNotEquals(before, after, "the order is drawn anew; with this seed it differs");
    }

    @Test
    void requestIsRefusedAtOnceWhenNoUpstreamIsReady() {
        RecordingHost host = host(ONCE).withUpstreams(0);
        host.request(1, 0);
        assertEquals(List.of("refuse 1"), host.finalResponses);
    }

    @Test
    void sameSeedAndEventsGiveSameActions() {
        List<List<String>> logs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            RecordingHost host = host(REPEATABLE, ONCE).withUpstreams(6);
            host.serveSequentially(0, 60, 0, 3 * MS);
            for (int i = 100; i < 160; i++) {
                host.request(i, i % 2);
                host.advance(2 * MS);
            }
            host.advance(2_000 * MS);
            logs.add(host.log);
        }
        assertEquals(logs.get(0), logs.get(1));
    }

    /** Attempts to one upstream of a fast and one of a slow model that respond after the given latencies. */
    private static List<Long> attemptsToTwoModels(long fastLatency, long slowLatency) {
        RecordingHost host = host(REPEATABLE);
        host.rules.listUpdated(host.now, ListUpdateType.CACHED, List.of(
                new Balancer.Upstream(0, 0, 0, 0, UpstreamState.READY, 1, 0),
                new Balancer.Upstream(1, 0, 1, 0, UpstreamState.READY, 1, 0)));
        for (int i = 0; i < 200; i++) {
            host.request(i, 0);
            host.advance(host.lastAttempt().upstream() == 0 ? fastLatency : slowLatency);
            host.endAttempt(host.lastAttempt(), Outcome.OK);
        }
        return List.of(host.attemptsTo(0, 100), host.attemptsTo(1, 100));
    }

    /** Guards against overloading slow machines: equal shares give them as much work as the fast ones. */
    @Test
    void slowModelGetsFewerRequestsOnceItsLatencyNearsTheTarget() {
        assertEquals(List.of(50L, 50L), attemptsToTwoModels(20 * MS, 60 * MS),
                "both far below the latency target of 500 ms");
        List<Long> attempts = attemptsToTwoModels(100 * MS, 300 * MS);
        assertTrue(attempts.get(1) > 15 && attempts.get(1) < 35,
                "three times as slow, so about a third of the fast model's attempts: " + attempts);
    }

    // ---------------------------------------------------------------- deadlines

    /** A host with a coarse clock may fire the balancer's only timer early; it has to be set again then. */
    @Test
    void timerThatFiresEarlyDoesNotLoseRequests() {
        RecordingHost host = host(ONCE).withUpstreams(1);
        host.request(1, 0);
        RecordingHost.Timer timer = host.timers.poll();
        host.now = timer.at() - 30;
        host.rules.timerFired(host.now, timer.token());
        host.advance(2_000 * MS);
        assertEquals(List.of("fail 1"), host.finalResponses);
    }

    @Test
    void queuedRequestsAreFinishedByTheirDeadline() {
        RecordingHost host = host(ONCE).withUpstreams(1);
        host.burst(0, 50, 0);
        host.advance(1_000 * MS);
        assertEquals(50, new HashSet<>(host.finalResponses).size());
        assertEquals(50, host.finalResponses.size());
    }

    @Test
    void requestWithoutTimeLeftIsRefusedAtOnce() {
        RecordingHost host = host(ONCE).withUpstreams(3);
        host.request(1, 0, 0);
        assertEquals(List.of("refuse 1"), host.finalResponses);
        assertTrue(host.attempts.isEmpty());
    }

    @Test
    void finalResponseLeavesTheHostItsResponseReserve() {
        RecordingHost host = host(ONCE).withUpstreams(1);
        host.rules.requestArrived(host.now,
                new Balancer.Request(1, 0, 0, 0, 1_000 * MS, 100 * MS, 0, false, false));
        host.advance(899 * MS);
        assertTrue(host.finalResponses.isEmpty());
        host.advance(MS);
        assertEquals(List.of("fail 1"), host.finalResponses);
    }

    @Test
    void timeoutAtTheDeadlineFailsTheRequestOnce() {
        RecordingHost host = host(ONCE).withUpstreams(3);
        host.request(1, 0);
        RecordingHost.Attempt attempt = host.lastAttempt();
        host.now += 1_000 * MS;
        host.endAttempt(attempt, Outcome.TIMEOUT);
        host.advance(100 * MS);
        assertEquals(List.of("fail 1"), host.finalResponses);
    }

    // ---------------------------------------------------------------- further attempts

    @Test
    void onceRequestIsSentAgainOnlyIfTheFirstAttemptNeverRan() {
        for (Outcome outcome : Outcome.values()) {
            if (outcome == Outcome.OK) {
                continue;
            }
            RecordingHost host = host(ONCE).withUpstreams(4);
            host.request(1, 0);
            host.endAttempt(host.lastAttempt(), outcome);
            assertEquals(outcome.provesNeverRan() ? 2 : 1, host.attempts.size(), outcome.toString());
            if (!outcome.provesNeverRan()) {
                assertEquals(List.of("fail 1"), host.finalResponses);
            }
        }
    }

    @Test
    void keyedRequestIsSentAgainOnlyInItsCellAndBeforeItsKeyExpires() {
        RecordingHost host = host(BY_KEY_CELL).withUpstreams(9);
        host.request(1, 0);
        long cell = host.lastAttempt().upstream() / 3;
        host.endAttempt(host.lastAttempt(), Outcome.ERROR);
        assertEquals(2, host.attempts.size());
        assertEquals(cell, host.lastAttempt().upstream() / 3);
        host.now += 699 * MS;
        host.endAttempt(host.lastAttempt(), Outcome.ERROR);
        assertEquals(2, host.attempts.size(), "less than a tick is left before the key expires");
        assertEquals(List.of("fail 1"), host.finalResponses);
    }

    /** Every upstream drops a repeat with the same key, so the client may safely retry. */
    @Test
    void keyedRequestOfScopeAllIsRefusedThoughItMayHaveRun() {
        RecordingHost host = host(BY_KEY_ALL).withUpstreams(1);
        host.request(1, 0);
        host.endAttempt(host.lastAttempt(), Outcome.RESET);
        host.advance(1_000 * MS);
        assertEquals(List.of("refuse 1"), host.finalResponses);
    }

    @Test
    void attemptsPerRequestAreLimited() {
        RecordingHost host = host(REPEATABLE).withUpstreams(9);
        host.request(1, 0);
        for (int i = 0; i < 5 && host.finalResponses.isEmpty(); i++) {
            host.endAttempt(host.lastAttempt(), Outcome.REJECTED);
        }
        assertEquals(3, host.attempts.size());
        assertEquals(List.of("refuse 1"), host.finalResponses);
    }

    // ---------------------------------------------------------------- upstream list

    @Test
    void drainingAndRemovedUpstreamsGetNoAttempts() {
        RecordingHost host = host(REPEATABLE).withUpstreams(4);
        host.rules.listUpdated(host.now, ListUpdateType.DELTA,
                List.of(upstream(2, UpstreamState.DRAINING, 0)));
        assertFalse(pickOrder(host, 12, 0).contains(2L));
        host.rules.listUpdated(host.now, ListUpdateType.FULL, List.of(upstream(0), upstream(1)));
        assertEquals(Set.of(0L, 1L), new HashSet<>(pickOrder(host, 12, 20)));
    }

    @Test
    void failedSubscriptionKeepsTheListAndBacksOff() {
        RecordingHost host = new RecordingHost(settings(DiscoveryMode.SUBSCRIBE, REPEATABLE), 7)
                .withUpstreams(3);
        assertEquals(1, host.subscriptions);
        for (int i = 0; i < 8; i++) {
            host.rules.listUpdated(host.now, ListUpdateType.FAILED, List.of());
            host.advance(5_000 * MS);
            assertEquals(i + 2, host.subscriptions);
        }
        host.request(1, 0);
        assertEquals(1, host.attempts.size());
        host.rules.listUpdated(host.now, ListUpdateType.FAILED, List.of());
        host.advance(2_000 * MS);
        assertEquals(9, host.subscriptions,
                "after eight failures the next subscription waits longer than 2 s");
    }

    /** After some failed calls the next one was put off by up to half of a long renewal interval. */
    @Test
    void discoveryWasAskedTooLateAfterAnOutage() {
        RecordingHost host = new RecordingHost(rareRenewalSettings(REPEATABLE), 7).withUpstreams(3);
        for (int i = 0; i < 8; i++) {
            host.rules.listUpdated(host.now, ListUpdateType.FAILED, List.of());
            host.advance(MAX_SUBSCRIPTION_DELAY_MS * MS);
            assertEquals(i + 2, host.subscriptions, "after " + (i + 1) + " failed calls");
        }
    }

    /** The cached list does not count as a reply to the subscription. */
    @Test
    void subscriptionIsRepeatedWhenNoListFollows() {
        RecordingHost host = new RecordingHost(settings(DiscoveryMode.SUBSCRIBE, REPEATABLE), 7)
                .withUpstreams(3);
        host.advance(6_000 * MS);
        assertEquals(2, host.subscriptions);
    }

    // ---------------------------------------------------------------- requests that have waited

    /**
     * Requests that had waited behind others of their connection until nearly out of time were sent all the
     * same. Their timeouts counted as an overload of the upstreams, so that other clients were refused.
     */
    @Test
    void requestsThatHadWaitedTooLongMadeTheBalancerShedOthers() {
        RequestClass targetAtDeadline = new RequestClass(1_000 * MS, 0, 1_000 * MS, 1, 0,
                Semantics.REPEATABLE, KeyScope.ALL, 0, false);
        RecordingHost host = host(targetAtDeadline).withUpstreams(3);
        host.serveSequentially(0, 200, 0, 20 * MS);
        int attemptsBefore = host.attempts.size();
        for (int id = 1_000; id < 1_100; id++) {
            host.rules.requestArrived(host.now,
                    new Request(id, 0, 0, 0, 1_000 * MS, 995 * MS, 0, false, false));
            host.advance(5 * MS);
        }
        assertEquals(attemptsBefore, host.attempts.size(), "attempts of requests with 5 ms left");
        host.serveSequentially(2_000, 2_100, 0, 20 * MS);
        assertEquals(attemptsBefore + 100, host.attempts.size(), "none of another client is shed");
    }

    // ---------------------------------------------------------------- slow start

    @Test
    void coldUpstreamGetsOnlyItsShareOfAWarmUpstreamsLoad() {
        RecordingHost host = host(REPEATABLE).withUpstreams(4);
        host.serveSequentially(0, 2_000, 0, 5 * MS);
        host.rules.listUpdated(host.now, ListUpdateType.DELTA,
                List.of(upstream(9, UpstreamState.READY, host.now)));
        int attemptsBefore = host.attempts.size();
        host.serveSequentially(5_000, 5_300, 0, 5 * MS);
        long cold = host.attemptsTo(9, attemptsBefore);
        // Each of 4 warm upstreams gets 75: 1.5 s at 200 requests per second. The share is still near 0.3.
        assertTrue(cold > 5 && cold < 40, "attempts to the cold upstream: " + cold);
    }

    /** The cold upstream's own work was counted as that of warm ones, which raised its budget in turn. */
    @Test
    void coldUpstreamGotTwiceTheLoadOfAWarmOneNearTheEndOfItsRamp() {
        RecordingHost host = host(REPEATABLE).withUpstreams(2);
        host.serveSequentially(0, 2_000, 0, 5 * MS);
        host.rules.listUpdated(host.now, ListUpdateType.DELTA,
                List.of(upstream(9, UpstreamState.READY, host.now)));
        host.serveSequentially(5_000, 6_200, 0, 5 * MS);
        int attemptsBefore = host.attempts.size();
        host.serveSequentially(7_000, 7_300, 0, 5 * MS);
        long cold = host.attemptsTo(9, attemptsBefore);
        long warm = (300 - cold) / 2;
        // The last 1.5 s of a ramp of 8 s: the share grows from 0.8 to 1.
        assertTrue(cold > 0.7 * warm && cold < 1.2 * warm, cold + " attempts to the cold upstream, " + warm
                + " to each warm one");
    }

    /** The share is a part of a warm upstream's load, which a new sidecar has measured only briefly. */
    @Test
    void newSidecarGivesColdUpstreamsTheirShare() {
        RecordingHost host = host(REPEATABLE).withUpstreams(4);
        host.serveSequentially(0, 200, 0, 10 * MS);
        host.rules.listUpdated(host.now, ListUpdateType.DELTA,
                List.of(upstream(9, UpstreamState.READY, host.now)));
        int attemptsBefore = host.attempts.size();
        host.serveSequentially(1_000, 1_200, 0, 10 * MS);
        // Each of 4 warm upstreams gets 50: 2 s at 100 requests per second. The share grows from 0.3 to 0.5.
        long cold = host.attemptsTo(9, attemptsBefore);
        assertTrue(cold > 10 && cold < 25, "attempts to the cold upstream: " + cold);
    }

    /**
     * A sidecar with little traffic reaches each upstream only every few seconds. A cold upstream that had to
     * wait for its turn in the cycle would get less than its share.
     */
    @Test
    void coldUpstreamGetsItsShareWhereTheCycleTakesSeconds() {
        int cold = 0;
        for (int seed = 0; seed < 50; seed++) {
            RecordingHost host = new RecordingHost(settings(ONCE), seed).withUpstreams(60);
            host.serveSequentially(0, 100, 0, 100 * MS);
            host.rules.listUpdated(host.now, ListUpdateType.DELTA,
                    List.of(upstream(99, UpstreamState.READY, host.now)));
            int attemptsBefore = host.attempts.size();
            host.serveSequentially(1_000, 1_060, 0, 100 * MS);
            cold += (int) host.attemptsTo(99, attemptsBefore);
        }
        // 50 sidecars send 50 attempts to a warm upstream in 6 s; a share of 0.3 to 0.8 averages to 27.
        assertTrue(cold > 20 && cold < 40, "attempts of 50 sidecars to the cold upstream: " + cold);
    }

    /** A cold upstream gets more than its capacity share when the warm ones respond more slowly. */
    @Test
    void coldUpstreamGetsMoreTheFasterItIsThanWarmOnes() {
        long faster = attemptsToColdUpstream(20 * MS, 200 * MS);
        long equal = attemptsToColdUpstream(60 * MS, 60 * MS);
        long slower = attemptsToColdUpstream(200 * MS, 20 * MS);
        assertTrue(faster > equal && equal > slower,
                "faster " + faster + ", equal " + equal + ", slower " + slower);
    }

    /** Attempts to a cold upstream within 6 s when it and the warm ones respond after the given latencies. */
    private static long attemptsToColdUpstream(long coldLatency, long warmLatency) {
        RecordingHost host = host(ONCE).withUpstreams(4);
        host.serveSequentially(0, 400, 0, 60 * MS);
        host.rules.listUpdated(host.now, ListUpdateType.DELTA,
                List.of(upstream(9, UpstreamState.READY, host.now)));
        int attemptsBefore = host.attempts.size();
        long end = host.now + 6_000 * MS;
        for (int id = 1_000; host.now < end; id++) {
            host.request(id, 0);
            RecordingHost.Attempt attempt = host.lastAttempt();
            long latency = attempt.upstream() == 9 ? coldLatency : warmLatency;
            host.advance(latency);
            host.endAttempt(attempt, Outcome.OK);
            host.advance(220 * MS - latency);
        }
        return host.attemptsTo(9, attemptsBefore);
    }

    /** If each of many sidecars began with a request to the cold upstream, it would get them all at once. */
    @Test
    void firstRequestsOfManySidecarsDoNotOverloadAColdUpstream() {
        int cold = 0;
        int warm = 0;
        for (int seed = 0; seed < 100; seed++) {
            RecordingHost host = new RecordingHost(settings(REPEATABLE), seed).withUpstreams(4);
            host.serveSequentially(0, 20, 0, 500 * MS);
            host.rules.listUpdated(host.now, ListUpdateType.DELTA,
                    List.of(upstream(9, UpstreamState.READY, host.now)));
            int attemptsBefore = host.attempts.size();
            host.serveSequentially(100, 105, 0, 300 * MS);
            cold += (int) host.attemptsTo(9, attemptsBefore);
            warm += 5 - (int) host.attemptsTo(9, attemptsBefore);
        }
        // A warm upstream gets about 120; the share grows from 0.3 to 0.4 in these 1.5 s.
        assertTrue(cold > 5 && cold < 0.5 * warm / 4,
                "attempts to the cold upstream: " + cold + ", to the warm ones: " + warm);
    }

    /** Before its first response a sidecar has no load of a warm upstream to take a share of. */
    @Test
    void sidecarSendsNothingToColdUpstreamsBeforeItsFirstResponse() {
        for (int seed = 0; seed < 20; seed++) {
            RecordingHost host = new RecordingHost(settings(REPEATABLE), seed).withUpstreams(2);
            host.rules.listUpdated(host.now, ListUpdateType.DELTA,
                    List.of(upstream(9, UpstreamState.READY, host.now)));
            host.burst(0, 3, 0);
            assertEquals(0, host.attemptsTo(9, 0));
        }
    }

    // ---------------------------------------------------------------- outlier detection and overload

    @Test
    void unresponsiveUpstreamGetsFewAttempts() {
        RecordingHost host = host(ONCE, REPEATABLE).withUpstreams(4);
        host.serveSequentially(0, 40, 0, 20 * MS);
        int attemptsBefore = host.attempts.size();
        for (int i = 100; i < 160; i++) {
            host.request(i, 0);
            RecordingHost.Attempt attempt = host.lastAttempt();
            host.advance(20 * MS);
            if (attempt.upstream() != 2) {
                host.endAttempt(attempt, Outcome.OK);
            }
        }
        long attempts = host.attemptsTo(2, attemptsBefore);
        assertTrue(attempts <= 4, "unresponsive upstream got " + attempts + " of 60 attempts");
    }

    /** Fast errors keep the in-flight count low, so the upstream would be chosen as the less busy one. */
    @Test
    void upstreamThatFailsFastGetsFewAttempts() {
        RecordingHost host = host(ONCE, REPEATABLE).withUpstreams(4);
        host.serveSequentially(0, 40, 0, 20 * MS);
        int attemptsBefore = host.attempts.size();
        for (int i = 100; i < 200; i++) {
            host.request(i, 0);
            RecordingHost.Attempt attempt = host.lastAttempt();
            host.advance(attempt.upstream() == 2 ? MS : 20 * MS);
            host.endAttempt(attempt, attempt.upstream() == 2 ? Outcome.ERROR : Outcome.OK);
        }
        long attempts = host.attemptsTo(2, attemptsBefore);
        assertTrue(attempts <= 8,
                "failing upstream got " + attempts + " of 100 attempts; a third of an even share is 8");
    }

    @Test
    void noUpstreamIsEjectedWhenAllAreEquallySlow() {
        RecordingHost host = host(REPEATABLE).withUpstreams(4);
        host.serveSequentially(0, 200, 0, 20 * MS);
        host.serveSequentially(1_000, 1_100, 0, 80 * MS);
        int attemptsBefore = host.attempts.size();
        host.serveSequentially(2_000, 2_040, 0, 80 * MS);
        Map<Long, Integer> counts = new HashMap<>();
        host.attempts.subList(attemptsBefore, attemptsBefore + 40)
                .forEach(a -> counts.merge(a.upstream(), 1, Integer::sum));
        counts.values().forEach(count -> assertEquals(10, count));
        assertTrue(host.finalResponses.isEmpty(), "no request is refused: " + host.finalResponses);
    }

    /** With most upstreams ejected, all requests would go to the few that are left and overload them. */
    @Test
    void ejectionsAreIgnoredWhenMostUpstreamsFail() {
        for (int failing = 1; failing <= 3; failing++) {
            RecordingHost host = new RecordingHost(RecordingHost.singleSidecarSettings(ONCE), 7)
                    .withUpstreams(4);
            host.serveSequentially(0, 40, 0, 20 * MS);
            for (int i = 100; i < 130; i++) {
                host.request(i, 0);
                host.advance(MS);
                host.endAttempt(host.lastAttempt(),
                        host.lastAttempt().upstream() < failing ? Outcome.ERROR : Outcome.OK);
            }
            int attemptsBefore = host.attempts.size();
            host.burst(200, 260, 0);
            long attempts = 0;
            for (int id = 0; id < failing; id++) {
                attempts += host.attemptsTo(id, attemptsBefore);
            }
            // While no more than half of the upstreams fail, each of them gets at most one trial attempt.
            assertTrue(failing <= 2 ? attempts <= failing : attempts > failing,
                    failing + " failing upstreams, attempts to them: " + attempts);
            assertTrue(host.attemptsTo(3, attemptsBefore) > 1, "the healthy upstream gets its share");
        }
    }

    @Test
    void requestIsSentEvenWhenAllUpstreamsAreUnreachable() {
        RecordingHost host = host(REPEATABLE).withUpstreams(2);
        for (int i = 0; i < 4; i++) {
            host.request(i, 0);
            host.endAttempt(host.lastAttempt(), Outcome.CONNECT_FAILED);
        }
        int attemptsBefore = host.attempts.size();
        host.request(10, 0);
        assertTrue(host.attempts.size() > attemptsBefore,
                "with all upstreams ejected, ejections are ignored");
    }

    @Test
    void sheddingEndsSoonAfterAnOverload() {
        RecordingHost host = host(REPEATABLE).withUpstreams(20);
        host.serveSequentially(0, 40, 0, 20 * MS);
        host.burst(100, 140, 0);
        host.advance(1_000 * MS);
        host.attempts.stream().filter(a -> a.request() >= 100).toList()
                .forEach(a -> host.endAttempt(a, Outcome.CANCELLED));
        int attemptsBefore = host.attempts.size();
        for (int i = 200; i < 300; i++) {
            if (i == 280) {
                attemptsBefore = host.attempts.size();
            }
            host.request(i, 0);
            host.advance(20 * MS);
            if (host.lastAttempt().request() == i) {
                host.endAttempt(host.lastAttempt(), Outcome.OK);
            }
            host.advance(30 * MS);
        }
        assertTrue(host.attempts.size() - attemptsBefore >= 19, "8 latency targets after the overload, "
                + (host.attempts.size() - attemptsBefore) + " of 20 requests are sent");
    }

    /** If attempts counted only when they end, an overload would be noticed as late as at their deadline. */
    @Test
    void unfinishedAttemptsCountAsLateOnceTheLatencyTargetHasPassed() {
        RecordingHost host = host(ONCE).withUpstreams(40);
        for (int i = 0; i < 30; i++) {
            host.request(i, 0);
            host.advance(3 * MS);
        }
        host.advance(500 * MS);
        int attemptsBefore = host.attempts.size();
        host.burst(100, 140, 0);
        assertTrue(host.attempts.size() - attemptsBefore < 20,
                "sent " + (host.attempts.size() - attemptsBefore) + " of 40 requests into an overload");
    }

    /** A sidecar that shed every request would get no response that shows that its upstreams recovered. */
    @Test
    void someRequestsAreSentDuringALastingOverload() {
        RecordingHost host = host(ONCE).withUpstreams(400);
        for (int i = 0; i < 400; i++) {
            host.request(i, 0);
            host.advance(5 * MS);
        }
        int attemptsBefore = host.attempts.size();
        for (int i = 1_000; i < 1_400; i++) {
            host.request(i, 0);
            host.advance(5 * MS);
        }
        int sent = host.attempts.size() - attemptsBefore;
        assertTrue(sent >= 20 && sent <= 120, "sent during a lasting overload, of 400 requests: " + sent);
    }

    @Test
    void removedUpstreamIsDroppedWhenItsLastAttemptEnds() {
        RecordingHost host = host(ONCE).withUpstreams(3);
        host.request(1, 0);
        RecordingHost.Attempt attempt = host.lastAttempt();
        host.rules.listUpdated(host.now, ListUpdateType.FULL, List.of());
        assertTrue(host.rules.describeState(host.now).startsWith("0 ready of 1 known"),
                host.rules.describeState(host.now));
        host.endAttempt(attempt, Outcome.OK);
        assertTrue(host.rules.describeState(host.now).startsWith("0 ready of 0 known"),
                host.rules.describeState(host.now));
    }

    @Test
    void roundRobinReachesEachOf1024Upstreams() {
        RecordingHost host = host(REPEATABLE).withUpstreams(1_024);
        assertEquals(1_024, new HashSet<>(pickOrder(host, 1_024, 0)).size());
    }

    /**
     * With many upstreams no concurrency limit of a single upstream is reached. Without the attempt window,
     * which covers all of them, every request that arrives right after a start would be sent at once.
     */
    @Test
    void attemptWindowStartsSmallAndGrowsWithTimelyResponses() {
        RecordingHost host = new RecordingHost(RecordingHost.peerMessageSettings(ONCE), 7).withUpstreams(100);
        host.burst(0, 100, 0);
        assertTrue(host.attempts.size() <= 8, "attempts sent right after a start: " + host.attempts.size());
        host = new RecordingHost(RecordingHost.peerMessageSettings(ONCE), 7).withUpstreams(100);
        host.serveGrowingBursts(1_000, 6, 0, 20 * MS);
        int attemptsBefore = host.attempts.size();
        host.burst(5_000, 5_080, 0);
        assertTrue(host.attempts.size() - attemptsBefore >= 64,
                "attempts sent after timely responses: " + (host.attempts.size() - attemptsBefore));
    }

    @Test
    void noSecondAttemptIsSentWhileTheFirstIsInFlight() {
        RecordingHost host = host(REPEATABLE).withUpstreams(4);
        host.serveSequentially(0, 80, 0, 20 * MS);
        host.request(100, 0);
        host.advance(300 * MS);
        assertEquals(1, host.attemptsOf(100).size(), "attempts 300 ms after the first was sent");
    }

    // ---------------------------------------------------------------- peer warnings

    /** One of 100 sidecars that may send each other warnings, with 20 upstreams. */
    private static RecordingHost hostWithPeers(int seed) {
        return new RecordingHost(RecordingHost.peerMessageSettings(ONCE), seed).withUpstreams(20);
    }

    /** The peer messages of a sidecar whose only upstream, number 3, responds to none of the requests. */
    private static List<byte[]> warningsAboutUnresponsiveUpstream(int requests) {
        RecordingHost host = new RecordingHost(RecordingHost.peerMessageSettings(ONCE), 7);
        host.rules.listUpdated(host.now, ListUpdateType.CACHED, List.of(upstream(1), upstream(2)));
        host.serveSequentially(0, 400, 0, 20 * MS);
        assertTrue(host.peerMessages.isEmpty(), "no warning while all upstreams respond");
        host.rules.listUpdated(host.now, ListUpdateType.FULL, List.of(upstream(3)));
        for (int i = 0; i < requests; i++) {
            host.request(1_000 + i, 0);
            host.advance(2_000 * MS);
        }
        return host.peerMessages;
    }

    @Test
    void peerWarningsEjectAnUpstreamUntilTheyDecay() {
        List<byte[]> messages = warningsAboutUnresponsiveUpstream(8);
        assertFalse(messages.isEmpty());
        RecordingHost host = hostWithPeers(7);
        host.serveSequentially(0, 40, 0, 20 * MS);
        for (int from = 1; from <= 9; from++) {
            host.rules.peerMessageReceived(host.now, from, messages.get(0));
        }
        int attemptsBefore = host.attempts.size();
        host.serveSequentially(100, 140, 0, 5 * MS);
        assertEquals(0, host.attemptsTo(3, attemptsBefore));
        host.advance(10_000 * MS);
        attemptsBefore = host.attempts.size();
        host.serveSequentially(200, 220, 0, 5 * MS);
        assertEquals(1, host.attemptsTo(3, attemptsBefore), "readmitted after the warnings have decayed");
    }

    @Test
    void warningsAboutAllUpstreamsEjectNone() {
        RecordingHost host = hostWithPeers(7);
        host.serveSequentially(0, 40, 0, 20 * MS);
        for (int id = 0; id < 20; id++) {
            for (int from = 1; from <= 9; from++) {
                host.rules.peerMessageReceived(host.now, from, new byte[] {0, 0, 0, (byte) id});
            }
        }
        int attemptsBefore = host.attempts.size();
        host.serveSequentially(100, 120, 0, 5 * MS);
        for (int id = 0; id < 20; id++) {
            assertEquals(1, host.attemptsTo(id, attemptsBefore), "upstream " + id);
        }
    }

    @Test
    void unusablePeerMessagesAreIgnored() {
        RecordingHost host = hostWithPeers(7);
        for (byte[] message : new byte[][] {{}, {1}, {0, 0, 0, 99}, {0, 0, 0, 3, 7}, new byte[256]}) {
            host.rules.peerMessageReceived(host.now, 50_000, message);
        }
        host.serveSequentially(0, 20, 0, 5 * MS);
        assertEquals(20, host.attempts.size());
    }

    @Test
    void peerWarningsStayWithinTheirCostBudget() {
        RecordingHost host = hostWithPeers(7);
        for (int i = 0; i < 500; i++) {
            int attemptsBefore = host.attempts.size();
            host.request(i, 0);
            host.advance(1_000 * MS);
            List.copyOf(host.attempts.subList(attemptsBefore, host.attempts.size()))
                    .forEach(attempt -> host.endAttempt(attempt, Outcome.CANCELLED));
        }
        int bytes = host.peerMessages.stream().mapToInt(message -> message.length).sum();
        // A 256-byte message per request to each of 99 sidecars costs 99 * 0.04 of all value, so one per cent
        // of all value pays for 0.65 bytes per request.
        assertTrue(bytes > 0 && bytes <= 0.65 * host.attempts.size(), bytes + " for " + host.attempts.size());
    }

    /** Where a cycle takes long, one trial attempt per cycle is as much load as without an ejection. */
    @Test
    void ejectedUpstreamDoesNotGetATrialAttemptInEveryCycle() {
        RecordingHost host = host(ONCE).withUpstreams(20);
        host.serveSequentially(0, 100, 0, 20 * MS);
        host.advance(20_000 * MS);
        int attemptsBefore = host.attempts.size();
        for (int i = 1_000; i < 1_100; i++) {
            host.request(i, 0);
            RecordingHost.Attempt attempt = host.lastAttempt();
            boolean unresponsive = attempt.upstream() == 3;
            host.advance(unresponsive ? 1_000 * MS : 20 * MS);
            host.endAttempt(attempt, unresponsive ? Outcome.CANCELLED : Outcome.OK);
            host.advance(480 * MS);
        }
        long attempts = host.attemptsTo(3, attemptsBefore);
        assertTrue(attempts >= 1 && attempts <= 3, "got " + attempts + " attempts in 5 cycles");
    }

    // ---------------------------------------------------------------- load probes

    /** One of {@code sidecarCount} sidecars, with 10 upstreams and cheap load probes. */
    private static RecordingHost probingHost(int sidecarCount) {
        return new RecordingHost(RecordingHost.loadProbeSettings(sidecarCount, REPEATABLE), 7)
                .withUpstreams(10);
    }

    /**
     * Responds to all probes in the log: each upstream reports {@code inFlight} requests in flight, except
     * for the one with index {@code idle} among the probes, which reports none.
     */
    private static void respondToProbes(RecordingHost host, float inFlight, int idle) {
        List<Long> probed = host.log.stream().filter(line -> line.startsWith("probe "))
                .map(line -> Long.parseLong(line.substring(6))).toList();
        host.log.clear();
        host.now += MS;
        for (int i = 0; i < probed.size(); i++) {
            host.rules.probeResult(host.now, probed.get(i), Outcome.OK, MS,
                    new float[] {0, i == idle ? 0 : inFlight});
        }
    }

    @Test
    void leastBusyOfTheProbedUpstreamsIsChosen() {
        RecordingHost host = probingHost(100);
        host.request(1, 0);
        assertTrue(host.attempts.isEmpty(), "load probes come before the attempt");
        List<String> probes = host.log.stream().filter(line -> line.startsWith("probe ")).toList();
        assertEquals(5, probes.size());
        respondToProbes(host, 3, 2);
        assertEquals(probes.get(2), "probe " + host.lastAttempt().upstream());
    }

    /** Load probes time out after a twentieth of the latency target, here 25 ms. */
    @Test
    void requestIsSentWhenNoProbeGetsAResponse() {
        RecordingHost host = probingHost(100);
        host.request(1, 0);
        host.advance(30 * MS);
        assertEquals(1, host.attempts.size());
    }

    @Test
    void requestIsRefusedAtOnceWhenAllProbedUpstreamsAreBusy() {
        RecordingHost host = probingHost(100);
        for (int i = 0; i < 40; i++) {
            host.request(i, 0);
            respondToProbes(host, 0, 0);
            host.advance(100 * MS);
            host.endAttempt(host.lastAttempt(), Outcome.OK);
        }
        host.request(100, 0);
        respondToProbes(host, 9, -1);
        assertEquals(List.of("refuse 100"), host.finalResponses,
                "nine requests in flight and this one take 100 ms each; the target is 500 ms");
    }

    /** An upstream may keep working on a timed-out attempt, and only load probes would show that. */
    @Test
    void attemptsTimeOutAtTheLatencyTargetOnlyWithLoadProbes() {
        RecordingHost host = probingHost(100);
        host.request(1, 0);
        respondToProbes(host, 0, 0);
        assertEquals(List.of("send 1 " + host.lastAttempt().upstream() + " " + 499 * MS),
                host.log.stream().filter(line -> line.startsWith("send")).toList());
        host = probingHost(3);
        host.request(1, 0);
        assertTrue(host.log.contains("send 1 " + host.lastAttempt().upstream() + " 0"));
    }

    /** With fewer sidecars than upstreams, a sidecar's own in-flight counts show enough of the load. */
    @Test
    void noLoadProbesWithFewSidecars() {
        RecordingHost host = probingHost(3);
        host.request(1, 0);
        assertEquals(1, host.attempts.size());
        assertFalse(host.log.stream().anyMatch(line -> line.startsWith("probe ")));
    }

    // ---------------------------------------------------------------- admission control

    @Test
    void markedClientRetriesAreShedMoreOftenThanNewRequests() {
        int[] sent = new int[2];
        for (int seed = 0; seed < 100; seed++) {
            RecordingHost host = new RecordingHost(settings(REPEATABLE), seed).withUpstreams(40);
            host.serveGrowingBursts(1_000, 3, 0, 20 * MS);
            for (int i = 0; i < 20; i++) {
                host.request(i, 0);
                RecordingHost.Attempt attempt = host.lastAttempt();
                host.advance(5 * MS);
                if (i % 2 == 0 && attempt.request() == i) {
                    host.endAttempt(attempt, Outcome.OK);
                }
            }
            host.advance(500 * MS);
            int attemptsBefore = host.attempts.size();
            host.rules.requestArrived(host.now, new Balancer.Request(100, 0, 0, 0, 1_000 * MS, 0, 0,
                    seed % 2 == 1, false));
            sent[seed % 2] += host.attempts.size() - attemptsBefore;
        }
        assertTrue(sent[0] > 10 && sent[1] < sent[0] / 2,
                "sent: new requests " + sent[0] + ", client retries " + sent[1]);
    }

    @Test
    void lateResponsesStartSheddingAndTimelyOnesEndIt() {
        RecordingHost host = host(REPEATABLE).withUpstreams(40);
        for (int i = 0; i < 30; i++) {
            host.request(i, 0);
            host.advance(100 * MS);
        }
        host.advance(1_000 * MS);
        host.attempts.forEach(attempt -> host.endAttempt(attempt, Outcome.TIMEOUT));
        int attemptsBefore = host.attempts.size();
        host.burst(100, 140, 0);
        assertTrue(host.attempts.size() - attemptsBefore < 16,
                "requests sent after no response came in time: " + (host.attempts.size() - attemptsBefore));
        host.advance(30_000 * MS);
        host.serveSequentially(200, 300, 0, 20 * MS);
        assertEquals(100, host.attempts.stream().filter(attempt -> attempt.request() >= 200).count());
    }

    /** If the oldest went first during an overload, every request would wait until its response is late. */
    @Test
    void queuedRequestsAreSentNewestFirst() {
        RecordingHost host = host(ONCE).withUpstreams(1);
        host.burst(0, 6, 0);
        int attemptsBefore = host.attempts.size();
        assertTrue(attemptsBefore < 6, "some requests are queued");
        host.advance(10 * MS);
        host.endAttempt(host.attempts.get(0), Outcome.OK);
        assertEquals(5, host.attempts.get(attemptsBefore).request());
    }

    /** With 400 ms left of a deadline of 1 s, the client has already spent 600 ms on earlier requests. */
    @Test
    void clientRetriesPastTheLatencyTargetAreRefusedAtOnce() {
        RecordingHost host = host(ONCE).withUpstreams(1);
        host.burst(0, 6, 0);
        int attemptsBefore = host.attempts.size();
        host.request(50, 0, 400 * MS);
        assertEquals(List.of("refuse 50"), host.finalResponses,
                "600 ms have passed, more than the latency target of 500 ms");
        assertEquals(attemptsBefore, host.attempts.size());
    }

    /** The most common time left marks new requests, even where client retries have more. */
    @Test
    void requestsWithTheUsualTimeLeftAreNotTakenForClientRetries() {
        RecordingHost host = host(ONCE).withUpstreams(1);
        for (int i = 0; i < 30; i++) {
            host.request(i, 0, i % 3 == 2 ? 900 * MS : 600 * MS);
        }
        int responsesBefore = host.finalResponses.size();
        host.request(50, 0, 600 * MS);
        assertEquals(responsesBefore, host.finalResponses.size(),
                "600 ms left is usual for new requests: the request is queued, not refused");
    }

    @Test
    void queuedRequestOfTheTenantThatUsedLeastOfItsQuotaIsSentFirst() {
        Balancer.Settings base = settings(ONCE);
        RecordingHost host = new RecordingHost(new Balancer.Settings(0, 1, 0, 5 * MS, DiscoveryMode.AUTOMATIC,
                Balancer.WeightMode.SILENT, base.classes(), List.of(new Balancer.Tenant(0.5, 10),
                new Balancer.Tenant(0.5, 10)), base.capabilities(), base.limits(), List.of(),
                Balancer.Costs.NONE,
                false, 0.1), 7)
                .withUpstreams(1);
        for (int i = 0; i < 4; i++) {
            host.rules.requestArrived(host.now,
                    new Balancer.Request(i, 0, 0, 0, 1_000 * MS, 0, 0, false, false));
        }
        host.rules.requestArrived(host.now,
                new Balancer.Request(10, 0, 1, 0, 1_000 * MS, 0, 0, false, false));
        host.rules.requestArrived(host.now,
                new Balancer.Request(11, 0, 0, 0, 1_000 * MS, 0, 0, false, false));
        int attemptsBefore = host.attempts.size();
        host.advance(10 * MS);
        host.endAttempt(host.attempts.get(0), Outcome.OK);
        assertEquals(10, host.attempts.get(attemptsBefore).request(),
                "not the newest request, but the one of the tenant without an attempt");
    }

    /** Trial attempts also use requests that must not run twice, else the upstream would stay ejected. */
    @Test
    void ejectedUpstreamIsReadmittedWhenAllRequestsAreOnce() {
        RecordingHost host = host(ONCE).withUpstreams(2);
        host.serveSequentially(0, 40, 0, 20 * MS);
        for (int i = 100; i < 1_200; i++) {
            host.request(i, 0);
            RecordingHost.Attempt attempt = host.lastAttempt();
            host.advance(20 * MS);
            host.endAttempt(attempt, attempt.upstream() == 1 && i < 200 ? Outcome.ERROR : Outcome.OK);
        }
        assertTrue(host.attempts.subList(host.attempts.size() - 20, host.attempts.size()).stream()
                .anyMatch(a -> a.upstream() == 1), "the upstream gets attempts again");
    }

    // ---------------------------------------------------------------- settings, events, source size

    @Test
    void invalidSettingsAreRejectedAndNamed() {
        IllegalArgumentException e = assertThrows(IllegalArgumentException.class,
                () -> new Balancer.Limits(0, 0, 0, 1.5, 0, 3, 0));
        assertTrue(e.getMessage().contains("cold share"));
        assertThrows(IllegalArgumentException.class, () -> settings());
    }

    @Test
    void eventsAboutUnknownRequestsAreIgnored() {
        RecordingHost host = host(REPEATABLE).withUpstreams(2);
        int actionsBefore = host.log.size();
        host.rules.clientDisconnected(host.now, 99);
        host.rules.attemptEnded(host.now, 99, 0, 1, Outcome.OK, 0, true, new float[0]);
        host.rules.firstByte(host.now, 99, 0, 1, 0);
        host.rules.timerFired(host.now, 12345);
        host.rules.peerMessageReceived(host.now, 1, new byte[] {1});
        assertEquals(actionsBefore, host.log.size());
    }

    @Test
    void sourceOfRulesStaysWithinItsSizeLimits() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/pondridge/Rules.java"));
        assertTrue(lines.stream().filter(line -> !line.isBlank()).count() <= 1_200);
        assertTrue(lines.stream().allMatch(line -> line.length() <= 110));
    }
}
