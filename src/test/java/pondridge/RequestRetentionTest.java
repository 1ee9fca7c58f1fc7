package pondridge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pondridge.RecordingHost.MS;
import static pondridge.RecordingHost.REPEATABLE;
import static pondridge.RecordingHost.settings;

import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.Request;

/** Checks that {@link Rules} keeps nothing of a request that has ended, however late its deadline is. */
class RequestRetentionTest {
    private static final long DAY = 24 * 3_600_000 * MS;
    private static final int MAX_COLLECTIONS = 50;

    private final RecordingHost host = new RecordingHost(settings(REPEATABLE), 7).withUpstreams(2);
    private final List<WeakReference<Request>> requests = new ArrayList<>();

    private void request(long id, long timeLeft) {
        Request request = new Request(id, 0, 0, 0, timeLeft, 0, 0, false, false);
        requests.add(new WeakReference<>(request));
        host.rules.requestArrived(host.now, request);
    }

    private long keptRequests() {
        return requests.stream().filter(request -> request.get() != null).count();
    }

    private void expectKept(long expected) {
        for (int i = 0; i < MAX_COLLECTIONS && keptRequests() > expected; i++) {
            System.gc();
        }
        assertEquals(expected, keptRequests(), "requests that are still referred to");
    }

    /** The timer of the deadline, which the client chooses, was never cancelled. */
    @Test
    void endedRequestsWereKeptUntilTheirDeadlines() {
        for (long id = 0; id < 100; id++) {
            request(id, DAY);
            host.advance(MS);
            host.endAttempt(host.lastAttempt(), Outcome.OK);
        }
        host.advance(REPEATABLE.deadline());
        expectKept(0);
    }

    /** A queued request that was refused stayed in the queue for as long as newer ones waited in it. */
    @Test
    void refusedRequestsStayedInTheQueueBelowNewerOnes() {
        for (long id = 0; id < 200; id++) {
            request(id, REPEATABLE.deadline());
            host.advance(REPEATABLE.latencyTarget() / 10);
        }
        assertTrue(host.finalResponses.size() > 100, "most requests waited until they were refused");
        requests.subList(100, 200).clear();
        long attemptsInFlight = host.attempts.stream().filter(attempt -> attempt.request() < 100).count();
        expectKept(attemptsInFlight);
    }
}
