package pondridge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pondridge.RecordingHost.MS;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pondridge.Balancer.KeyScope;
import pondridge.Balancer.ListUpdateType;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.Semantics;
import pondridge.Balancer.Upstream;
import pondridge.Balancer.UpstreamState;

/**
 * Sends long random sequences of valid events to the balancer and checks every action against a record of the
 * requests that this test keeps itself. Guards against combinations of events that no scripted test covers.
 */
class RandomEventsTest {
    private static final long DEADLINE_NANOS = 1_000 * MS;
    private static final long RESPONSE_SLACK_NANOS = 20 * MS;
    private static final List<RequestClass> CLASSES = List.of(RecordingHost.REPEATABLE, RecordingHost.ONCE,
            RecordingHost.BY_KEY_CELL, RecordingHost.BY_KEY_ALL,
            RecordingHost.requestClass(Semantics.BY_KEY, KeyScope.ZONE));

    /** What this test records about one request. */
    private static final class TrackedRequest {
        final RequestClass requestClass;
        final long deadline;
        final List<RecordingHost.Attempt> attempts = new ArrayList<>();
        /** Outcomes of the attempts that have ended, by the attempt's number. */
        final Map<Integer, Outcome> outcomes = new HashMap<>();
        /** Refusals, failures, first successful attempts and disconnects of the client; has to become 1. */
        int timesFinished;

        TrackedRequest(RequestClass requestClass, long deadline) {
            this.requestClass = requestClass;
            this.deadline = deadline;
        }

        boolean mayHaveRun(int attemptNumber) {
            Outcome outcome = outcomes.get(attemptNumber);
            return outcome == null || !outcome.provesNeverRan();
        }
    }

    private final Map<Long, TrackedRequest> requests = new HashMap<>();
    private final Map<Long, UpstreamState> states = new HashMap<>();
    /** Indexes of the attempts of the host that have been checked. */
    private final Set<Integer> checkedAttempts = new HashSet<>();
    /** Upstreams with a load probe that has no result yet. */
    private final List<Long> pendingProbes = new ArrayList<>();
    private int probeCount;
    /** How many entries of the host's log have been checked. */
    private int checkedActions;
    private RecordingHost host;

    /** Checks each action since the last event. */
    private void checkActions() {
        int attemptsSeen = checkedAttempts.size();
        for (; checkedActions < host.log.size(); checkedActions++) {
            String[] action = host.log.get(checkedActions).split(" ");
            switch (action[0]) {
                case "send" -> {
                    RecordingHost.Attempt attempt = host.attempts.get(attemptsSeen);
                    checkedAttempts.add(attemptsSeen++);
                    checkAttempt(attempt);
                }
                case "probe" -> {
                    pendingProbes.add(Long.parseLong(action[1]));
                    probeCount++;
                }
                case "refuse", "fail" -> checkFinalResponse(action[0], Long.parseLong(action[1]));
                default -> { }
            }
        }
    }

    private void checkAttempt(RecordingHost.Attempt attempt) {
        TrackedRequest request = requests.get(attempt.request());
        assertEquals(0, request.timesFinished, "sent after the request finished: " + attempt);
        assertEquals(UpstreamState.READY, states.get(attempt.upstream()), "upstream not ready: " + attempt);
        assertTrue(request.attempts.size() < 3, "too many attempts: " + attempt);
        RecordingHost.Attempt uncertain = null;
        for (RecordingHost.Attempt earlier : request.attempts) {
            if (uncertain == null && request.mayHaveRun(earlier.number())) {
                uncertain = earlier;
            }
        }
        if (uncertain != null) {
            assertTrue(request.requestClass.semantics() != Semantics.ONCE, "ONCE sent twice: " + attempt);
            if (request.requestClass.semantics() == Semantics.BY_KEY) {
                assertTrue(attempt.sentAt() < uncertain.sentAt() + request.requestClass.keyTtl(),
                        "sent after the key expired: " + attempt);
                long a = uncertain.upstream();
                long b = attempt.upstream();
                switch (request.requestClass.scope()) {
                    case ZONE -> assertEquals(a % 2, b % 2, "not in the zone of the key: " + attempt);
                    case CELL -> assertEquals(a / 3, b / 3, "not in the cell of the key: " + attempt);
                    default -> { }
                }
            }
        }
        request.attempts.add(attempt);
    }

    private void checkFinalResponse(String action, long id) {
        TrackedRequest request = requests.get(id);
        assertEquals(1, ++request.timesFinished, "finished twice: " + id);
        assertTrue(host.now <= request.deadline + RESPONSE_SLACK_NANOS, "final response too late: " + id);
        boolean mayHaveRun = request.attempts.stream().anyMatch(a -> request.mayHaveRun(a.number()));
        boolean retryIsSafe = !mayHaveRun || request.requestClass.semantics() == Semantics.REPEATABLE
                || request.requestClass.semantics() == Semantics.BY_KEY
                        && request.requestClass.scope() == KeyScope.ALL;
        assertTrue(action.equals("fail") || retryIsSafe, "refused though it may have run: " + id);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void actionsAreAllowedWithoutLoadProbes(long seed) {
        runRandomEvents(seed, RecordingHost.settings(CLASSES.toArray(new RequestClass[0])));
        assertTrue(pendingProbes.isEmpty(), "no probe is allowed");
    }

    /** Probes end at once, late, with a failure, with a report that lacks fields, or never. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18})
    void actionsAreAllowedWithLoadProbes(long seed) {
        runRandomEvents(seed, RecordingHost.loadProbeSettings(500, CLASSES.toArray(new RequestClass[0])));
        assertTrue(probeCount > 100, "number of load probes: " + probeCount);
    }

    private void endRandomProbes(Random random) {
        while (!pendingProbes.isEmpty() && random.nextInt(6) > 0) {
            long upstream = pendingProbes.remove(random.nextInt(pendingProbes.size()));
            if (random.nextInt(20) > 0) {
                Outcome outcome = random.nextInt(10) > 0 ? Outcome.OK : Outcome.TIMEOUT;
                float[] load = random.nextInt(20) == 0 ? new float[0] : new float[] {0, random.nextInt(4)};
                host.rules.probeResult(host.now, upstream, outcome, MS, load);
                checkActions();
            }
        }
    }

    private void runRandomEvents(long seed, Balancer.Settings settings) {
        Random random = new Random(seed);
        host = new RecordingHost(settings, seed);
        int upstreams = 1 + random.nextInt(12);
        List<Upstream> initialList = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            initialList.add(RecordingHost.upstream(i));
            states.put((long) i, UpstreamState.READY);
        }
        host.rules.listUpdated(host.now, ListUpdateType.CACHED, initialList);
        List<RecordingHost.Attempt> inFlight = new ArrayList<>();
        int attemptsSeen = 0;
        long nextId = 0;
        for (int step = 0; step < 6_000; step++) {
            int event = random.nextInt(100);
            if (event < 40) {
                long timeLeft = random.nextInt(10) == 0 ? random.nextInt(30) * MS : DEADLINE_NANOS;
                int classIndex = random.nextInt(CLASSES.size());
                requests.put(nextId, new TrackedRequest(CLASSES.get(classIndex), host.now + timeLeft));
                host.request(nextId++, classIndex, timeLeft);
            } else if (event < 70 && !inFlight.isEmpty()) {
                endWithRandomOutcome(inFlight.remove(random.nextInt(inFlight.size())), random);
            } else if (event < 72) {
                changeRandomUpstream(random, upstreams);
            } else if (event < 73 && nextId > 0) {
                long id = nextId - 1 - random.nextInt((int) Math.min(nextId, 20));
                if (requests.get(id).timesFinished == 0) {
                    requests.get(id).timesFinished++;
                    host.rules.clientDisconnected(host.now, id);
                }
            } else {
                advanceInTicks(random.nextInt(8));
            }
            checkActions();
            endRandomProbes(random);
            while (attemptsSeen < host.attempts.size()) {
                inFlight.add(host.attempts.get(attemptsSeen++));
            }
            for (int i = inFlight.size() - 1; i >= 0; i--) {
                if (host.now >= requests.get(inFlight.get(i).request()).deadline) {
                    RecordingHost.Attempt attempt = inFlight.remove(i);
                    endAttempt(attempt, Outcome.TIMEOUT);
                }
            }
            checkActions();
        }
        advanceInTicks(3_000);
        checkActions();
        requests.forEach((id, request) ->
                assertEquals(1, request.timesFinished, "times that the request finished: " + id));
        assertTrue(nextId > 2_000, "enough requests in the sequence");
    }

    /** Moves the clock in steps of 5 ms, like a host that reports events once in each tick interval. */
    private void advanceInTicks(int millis) {
        for (int passed = 0; passed < millis; passed += 5) {
            host.advance(5 * MS);
            checkActions();
        }
    }

    private void endWithRandomOutcome(RecordingHost.Attempt attempt, Random random) {
        int draw = random.nextInt(10);
        endAttempt(attempt,
                draw < 6 ? Outcome.OK : Outcome.values()[random.nextInt(Outcome.values().length)]);
    }

    private void endAttempt(RecordingHost.Attempt attempt, Outcome outcome) {
        TrackedRequest request = requests.get(attempt.request());
        boolean alreadyFinished = request.timesFinished > 0;
        request.outcomes.put(attempt.number(), outcome);
        if (outcome == Outcome.OK && !alreadyFinished) {
            request.timesFinished++;
        }
        host.rules.attemptEnded(host.now, attempt.request(), attempt.number(), attempt.upstream(), outcome,
                host.now - attempt.sentAt(), alreadyFinished || outcome == Outcome.OK, new float[0]);
        checkActions();
    }

    private void changeRandomUpstream(Random random, int upstreams) {
        long id = random.nextInt(upstreams);
        UpstreamState state = UpstreamState.values()[random.nextInt(3)];
        long startedAt = state == UpstreamState.READY && states.get(id) == UpstreamState.GONE
                ? host.now - 100 * MS : 0;
        states.put(id, state);
        host.rules.listUpdated(host.now, ListUpdateType.DELTA,
                List.of(RecordingHost.upstream(id, state, startedAt)));
        checkActions();
    }
}
