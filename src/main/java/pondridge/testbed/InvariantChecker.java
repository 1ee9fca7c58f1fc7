package pondridge.testbed;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pondridge.testbed.RequestRecord.End;
import pondridge.testbed.RunHistory.ListEvent;
import pondridge.testbed.RunHistory.State;

/** Checks the invariants on what the testbed's parties saw. */
final class InvariantChecker {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MS;
    /** An attempt may begin so long after its request has ended. */
    private static final long AFTER_END_MS = 100;
    /** Under so many calls the slow-start budget has more room for chance. */
    private static final int FEW_CALLS = 30;
    private static final long DEADLINE_SLACK_MS = 150;
    /** Each time limit is so much longer on sockets. */
    private static final long SOCKET_SLACK_MS = 50;

    private final RunHistory history;
    private final List<SidecarProcess> sidecars;
    private final SidecarSettings settings;
    private final boolean crowded;
    private final List<Violation> violations = new ArrayList<>();

    private InvariantChecker(RunHistory history, List<SidecarProcess> sidecars, SidecarSettings settings,
            boolean crowded) {
        this.history = history;
        this.settings = settings;
        this.sidecars = sidecars;
        this.crowded = crowded;
    }

    /**
     * All violations, in no particular order.
     *
     * @param crowded whether idle clients filled the descriptors: new connections may be shut unread then
     */
    static List<Violation> check(RunHistory history, List<SidecarProcess> sidecars, SidecarSettings settings,
            boolean crowded) {
        InvariantChecker oracle = new InvariantChecker(history, sidecars, settings, crowded);
        oracle.violations.addAll(history.observedViolations());
        history.requests().forEach(oracle::checkRequest);
        oracle.checkList();
        return oracle.violations;
    }

    private void broken(Invariant invariant, Object detail) {
        violations.add(new Violation(invariant, detail.toString()));
    }

    private void checkRequest(RequestRecord request) {
        List<AttemptRecord> attempts = history.attempts(request.id);
        checkAnswer(request, attempts);
        checkRepeats(request, attempts);
        for (AttemptRecord attempt : attempts) {
            checkAttempt(request, attempt);
        }
    }

    private void checkAnswer(RequestRecord request, List<AttemptRecord> attempts) {
        if (request.end == End.SERVED && attempts.stream()
                .noneMatch(attempt -> attempt.number() == request.servedAttempt)) {
            broken(Invariant.GENUINE, request);
        }
        boolean lost = request.end == End.CLOSED || request.end == End.TRUNCATED;
        if (lost && !excused(request)) {
            broken(Invariant.NOT_CLOSED_UPON,
                    request + (attempts.isEmpty() ? ", not forwarded" : ", forwarded"));
        }
        if ((request.end == End.UNANSWERED || request.end == End.OPEN) && request.sentAt != 0
                && !excused(request)) {
            broken(Invariant.ANSWERED, request + ", attempts " + attempts);
        }
        if (request.end == End.NOT_TAKEN && !attempts.isEmpty() && !excused(request)) {
            broken(Invariant.NOT_CLOSED_UPON, request + ", yet forwarded");
        }
    }

    /** A kill frees what the process held; SIGTERM only what came when the kill was about to follow. */
    private boolean excused(RequestRecord request) {
        if (crowded && request.end == End.CLOSED && !history.wasForwarded(request.id)) {
            return true;
        }
        for (SidecarProcess.ProcessLifetime life : sidecars.get(request.sidecar).lifetimes()) {
            boolean heldThen = life.startedAt - request.endedAt < 0;
            boolean killed = life.killedAt != 0 && life.terminatedAt == 0
                    && life.killedAt - request.sentAt > -SOCKET_SLACK_MS * NANOS_PER_MS
                    && life.killedAt - request.endedAt < 0;
            // A connection made while the process ends may be reset before it is accepted.
            boolean ending = life.terminatedAt != 0 && request.end == End.CLOSED
                    && life.terminatedAt - request.sentAt < 0 && life.endedAt != 0
                    && life.startedAt - request.sentAt < 0 && request.sentAt - life.endedAt < 0
                    && !history.wasForwarded(request.id);
            if (heldThen && (killed || ending)) {
                return true;
            }
        }
        return false;
    }

    private void checkAttempt(RequestRecord request, AttemptRecord attempt) {
        boolean ended = request.endedAt != 0 && request.end != End.NOT_TAKEN;
        long late = (attempt.firstByteAt() - request.endedAt) / NANOS_PER_MS;
        if (ended && late > AFTER_END_MS + SOCKET_SLACK_MS) {
            broken(Invariant.NOT_FORWARDED_AFTER_END, request + ", " + late + " ms later: " + attempt);
        }
        long left = request.deadlineMs - (attempt.firstByteAt() - request.sentAt) / NANOS_PER_MS;
        if (request.sentAt != 0 && attempt.toldMs() > left + DEADLINE_SLACK_MS) {
            broken(Invariant.DEADLINE_HONEST, request + ", left " + left + " ms: " + attempt);
        }
    }

    private void checkRepeats(RequestRecord request, List<AttemptRecord> attempts) {
        if (attempts.size() > SidecarSettings.MAX_ATTEMPTS) {
            broken(Invariant.NOT_DUPLICATED, request + ", attempts " + attempts);
        }
        if (request.requestClass == RequestClass.BOOK) {
            long mayHaveRun = attempts.stream().filter(attempt -> !attempt.declined()).count();
            if (mayHaveRun > 1) {
                broken(Invariant.NOT_DUPLICATED, request + ", attempts " + attempts);
            }
        }
    }

    private void checkList() {
        Map<String, List<ListEvent>> byUpstream = new HashMap<>();
        history.listEvents().forEach(event -> byUpstream
                .computeIfAbsent(event.upstream(), name -> new ArrayList<>()).add(event));
        Map<String, List<AttemptRecord>> attempts = new HashMap<>();
        history.attempts().forEach(attempt -> attempts
                .computeIfAbsent(attempt.upstream(), name -> new ArrayList<>()).add(attempt));
        byUpstream.forEach((upstream, events) -> {
            List<AttemptRecord> sent = attempts.getOrDefault(upstream, List.of());
            for (int i = 0; i < events.size(); i++) {
                long until = i + 1 < events.size() ? events.get(i + 1).happenedAt() : Long.MAX_VALUE;
                checkEvent(events.get(i), until, sent);
            }
        });
    }

    private void checkEvent(ListEvent event, long until, List<AttemptRecord> sent) {
        if (event.state() == State.STARTED) {
            checkSlowStart(event, sent);
            return;
        }
        long from = event.toldAt() + (SidecarSettings.DRAIN_GRACE_MS + SOCKET_SLACK_MS) * NANOS_PER_MS;
        for (AttemptRecord attempt : sent) {
            if (attempt.firstByteAt() > from && attempt.firstByteAt() < until) {
                broken(Invariant.DRAIN, event + ", " + (attempt.firstByteAt() - event.toldAt()) / NANOS_PER_MS
                        + " ms later: " + attempt);
            }
        }
    }

    /**
     * What an upstream can do when warm is taken to be what the busiest other one gets in the same window, at
     * least what one usually gets.
     */
    private void checkSlowStart(ListEvent event, List<AttemptRecord> sent) {
        double usualPerMs = usualRatePerMs();
        long rampEnd = event.happenedAt() + SidecarSettings.RAMP_MS * NANOS_PER_MS;
        long[] times = sent.stream().mapToLong(AttemptRecord::lastByteAt)
                .filter(at -> at > event.toldAt() && at < rampEnd).sorted().toArray();
        for (long start : times) {
            long end = start + SidecarSettings.OVERLOAD_WINDOW_MS * NANOS_PER_MS;
            long count = Arrays.stream(times).filter(at -> at >= start && at < end).count();
            double warmth = Math.min(1, (end - event.happenedAt()) / (double) (rampEnd - event.happenedAt()));
            if (count <= allowedWhileCold(usualPerMs, warmth)) {
                continue;
            }
            double fullPerMs = Math.max(usualPerMs, busiestOtherPerMs(event.upstream(), start, end));
            if (count > allowedWhileCold(fullPerMs, warmth)) {
                broken(Invariant.SLOW_START, event + ": " + count + " requests in a window, allowed "
                        + allowedWhileCold(fullPerMs, warmth));
                return;
            }
        }
    }

    private double busiestOtherPerMs(String upstream, long start, long end) {
        Map<String, Integer> counts = new HashMap<>();
        for (AttemptRecord attempt : history.attempts()) {
            boolean within = attempt.lastByteAt() >= start && attempt.lastByteAt() < end;
            if (within && !attempt.upstream().equals(upstream)) {
                counts.merge(attempt.upstream(), 1, Integer::sum);
            }
        }
        int busiest = counts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        return busiest / (double) SidecarSettings.OVERLOAD_WINDOW_MS;
    }

    /** The slow-start budget of the standing test, for one window that ends at this warmth from 0 to 1. */
    private double allowedWhileCold(double fullPerMs, double warmth) {
        double share = SidecarSettings.COLD_CAPACITY_SHARE
                + (1 - SidecarSettings.COLD_CAPACITY_SHARE) * warmth;
        double calls = settings.overloadFactor() * fullPerMs * share * SidecarSettings.OVERLOAD_WINDOW_MS;
        boolean few = calls < FEW_CALLS;
        return few ? calls + 3 * Math.sqrt(calls) + 3 : calls + 2 * Math.sqrt(calls) + 2;
    }

    /** The median of the seconds with load: the quiet time and the pauses of a run say nothing of it. */
    private double usualRatePerMs() {
        List<AttemptRecord> all = history.attempts();
        Map<Long, Integer> bySecond = new HashMap<>();
        all.forEach(attempt -> bySecond.merge(attempt.lastByteAt() / NANOS_PER_SECOND, 1, Integer::sum));
        int[] counts = bySecond.values().stream().mapToInt(Integer::intValue).sorted().toArray();
        long upstreams = all.stream().map(AttemptRecord::upstream).distinct().count();
        return counts.length == 0 ? 0 : counts[counts.length / 2] / 1_000.0 / upstreams;
    }
}
