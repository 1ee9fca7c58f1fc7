package pondridge.testbed;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pondridge.testbed.RequestRecord.End;
import pondridge.testbed.RunHistory.ListEvent;
import pondridge.testbed.RunHistory.State;

/** Checks the invariants on the records of a finished run. */
final class InvariantChecker {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MS;
    /** How long after the end of its request an attempt may still reach an upstream. */
    private static final long MAX_DELAY_AFTER_END_MS = 100;
    /** Slow-start budgets below this many requests get a larger allowance for random variation. */
    private static final int SMALL_BUDGET_REQUESTS = 30;
    /** How far the deadline that an upstream gets may exceed the time that the client still waits. */
    private static final long DEADLINE_SLACK_MS = 150;
    /** Added to time limits, because clients and upstreams take the times at their own sockets. */
    private static final long SOCKET_SLACK_MS = 50;

    private final RunHistory history;
    private final List<SidecarProcess> sidecars;
    private final SidecarSettings settings;
    private final boolean idleClients;
    private final RecordedTimes times;
    private final List<Violation> violations = new ArrayList<>();

    private InvariantChecker(RunHistory history, List<SidecarProcess> sidecars, RecordedTimes times,
            SidecarSettings settings, boolean idleClients) {
        this.history = history;
        this.settings = settings;
        this.sidecars = sidecars;
        this.idleClients = idleClients;
        this.times = times;
    }

    /**
     * Returns all violations, in no particular order.
     *
     * @param times when the sidecars sent the attempts
     * @param idleClients whether idle clients used up file descriptors; a sidecar may then close a
     *     connection without reading the request
     */
    static List<Violation> check(RunHistory history, List<SidecarProcess> sidecars, RecordedTimes times,
            SidecarSettings settings, boolean idleClients) {
        InvariantChecker checker =
                new InvariantChecker(history, sidecars, times, settings, idleClients);
        checker.violations.addAll(history.observedViolations());
        checker.violations.addAll(checker.times.violations());
        history.requests().forEach(checker::checkRequest);
        checker.checkListEvents();
        return checker.violations;
    }

    private void addViolation(Invariant invariant, Object detail) {
        violations.add(new Violation(invariant, detail.toString()));
    }

    private void checkRequest(RequestRecord request) {
        List<AttemptRecord> attempts = history.attempts(request.id);
        checkResponse(request, attempts);
        checkDuplicates(request, attempts);
        for (AttemptRecord attempt : attempts) {
            checkAttempt(request, attempt);
        }
    }

    private void checkResponse(RequestRecord request, List<AttemptRecord> attempts) {
        if (request.end == End.SERVED && attempts.stream()
                .noneMatch(attempt -> attempt.number() == request.servedAttempt)) {
            addViolation(Invariant.GENUINE, request);
        }
        boolean connectionClosed = request.end == End.CLOSED || request.end == End.TRUNCATED;
        if (connectionClosed && !isLossAllowed(request)) {
            addViolation(Invariant.NOT_CLOSED_UPON,
                    request + (attempts.isEmpty() ? ", not forwarded" : ", forwarded"));
        }
        if ((request.end == End.UNANSWERED || request.end == End.OPEN) && request.sentAt != 0
                && !isLossAllowed(request)) {
            addViolation(Invariant.ANSWERED, request + ", attempts " + attempts);
        }
        if (request.end == End.NOT_TAKEN && !attempts.isEmpty() && !isLossAllowed(request)) {
            addViolation(Invariant.NOT_CLOSED_UPON, request + ", yet forwarded");
        }
    }

    /**
     * Whether the request may have ended without a complete response. This is so if SIGKILL, without a
     * SIGTERM before it, ended the sidecar while the request was open or at most {@link #SOCKET_SLACK_MS}
     * before it was sent. It is also so if the connection was closed, the request was not forwarded, and
     * either the request was sent between SIGTERM and the exit or idle clients used up file descriptors.
     */
    private boolean isLossAllowed(RequestRecord request) {
        if (idleClients && request.end == End.CLOSED && !history.wasForwarded(request.id)) {
            return true;
        }
        for (SidecarProcess.ProcessLifetime lifetime : sidecars.get(request.sidecar).lifetimes()) {
            boolean startedBeforeEnd = lifetime.startedAt - request.endedAt < 0;
            boolean killedMeanwhile = lifetime.killedAt != 0 && lifetime.terminatedAt == 0
                    && lifetime.killedAt - request.sentAt > -SOCKET_SLACK_MS * NANOS_PER_MS
                    && lifetime.killedAt - request.endedAt < 0;
            // A connection that is made while the process exits may be reset before it is accepted.
            boolean closedWhileExiting = lifetime.terminatedAt != 0 && request.end == End.CLOSED
                    && lifetime.terminatedAt - request.sentAt < 0 && lifetime.endedAt != 0
                    && lifetime.startedAt - request.sentAt < 0 && request.sentAt - lifetime.endedAt < 0
                    && !history.wasForwarded(request.id);
            if (startedBeforeEnd && (killedMeanwhile || closedWhileExiting)) {
                return true;
            }
        }
        return false;
    }

    private void checkAttempt(RequestRecord request, AttemptRecord attempt) {
        boolean hasEnded = request.endedAt != 0 && request.end != End.NOT_TAKEN;
        long sentAt = times.sentAt(attempt);
        long lateMs = (sentAt - times.endedAt(request)) / NANOS_PER_MS;
        if (hasEnded && lateMs > MAX_DELAY_AFTER_END_MS + SOCKET_SLACK_MS) {
            addViolation(Invariant.NOT_FORWARDED_AFTER_END,
                    request + ", " + lateMs + " ms later: " + attempt);
        }
        long remainingMs = request.deadlineMs - (sentAt - request.sentAt) / NANOS_PER_MS;
        if (request.sentAt != 0 && attempt.toldMs() > remainingMs + DEADLINE_SLACK_MS) {
            addViolation(Invariant.DEADLINE_HONEST, request + ", left " + remainingMs + " ms: " + attempt);
        }
    }

    private void checkDuplicates(RequestRecord request, List<AttemptRecord> attempts) {
        if (attempts.size() > SidecarSettings.MAX_ATTEMPTS) {
            addViolation(Invariant.NOT_DUPLICATED, request + ", attempts " + attempts);
        }
        if (request.requestClass == RequestClass.BOOK) {
            long possiblyProcessed = attempts.stream().filter(attempt -> !attempt.declined()).count();
            if (possiblyProcessed > 1) {
                addViolation(Invariant.NOT_DUPLICATED, request + ", attempts " + attempts);
            }
        }
    }

    private void checkListEvents() {
        Map<String, List<ListEvent>> byUpstream = new HashMap<>();
        history.listEvents().forEach(event -> byUpstream
                .computeIfAbsent(event.upstream(), key -> new ArrayList<>()).add(event));
        Map<String, List<AttemptRecord>> attempts = new HashMap<>();
        history.attempts().forEach(attempt -> attempts
                .computeIfAbsent(attempt.upstream(), key -> new ArrayList<>()).add(attempt));
        byUpstream.forEach((upstream, events) -> {
            List<AttemptRecord> sent = attempts.getOrDefault(upstream, List.of());
            for (int i = 0; i < events.size(); i++) {
                long until = i + 1 < events.size() ? events.get(i + 1).happenedAt() : Long.MAX_VALUE;
                checkListEvent(events.get(i), until, sent);
            }
        });
    }

    private void checkListEvent(ListEvent event, long until, List<AttemptRecord> sent) {
        if (event.state() == State.STARTED) {
            checkSlowStart(event, sent);
            return;
        }
        long from = event.toldAt() + (SidecarSettings.DRAIN_GRACE_MS + SOCKET_SLACK_MS) * NANOS_PER_MS;
        for (AttemptRecord attempt : sent) {
            long sentAt = times.sentAt(attempt);
            if (sentAt > from && sentAt < until) {
                addViolation(Invariant.DRAIN, event + ", "
                        + (sentAt - event.toldAt()) / NANOS_PER_MS + " ms later: " + attempt);
            }
        }
    }

    /**
     * Checks how many attempts a cold upstream gets in each overload window that begins with an attempt
     * during its ramp. The rate that it could serve when warm is estimated as that of the busiest other
     * upstream in the same window, or as the median rate if that is higher.
     */
    private void checkSlowStart(ListEvent event, List<AttemptRecord> sent) {
        double medianPerMs = medianRatePerMs();
        long rampEnd = event.happenedAt() + SidecarSettings.RAMP_MS * NANOS_PER_MS;
        long[] sendTimes = sent.stream().mapToLong(times::sentAt)
                .filter(at -> at > event.toldAt() && at < rampEnd).sorted().toArray();
        for (long start : sendTimes) {
            long end = start + SidecarSettings.OVERLOAD_WINDOW_MS * NANOS_PER_MS;
            long count = Arrays.stream(sendTimes).filter(at -> at >= start && at < end).count();
            double rampProgress =
                    Math.min(1, (end - event.happenedAt()) / (double) (rampEnd - event.happenedAt()));
            if (count <= slowStartBudget(medianPerMs, rampProgress)) {
                continue;
            }
            double warmRatePerMs = Math.max(medianPerMs, maxOtherRatePerMs(event.upstream(), start, end));
            if (count > slowStartBudget(warmRatePerMs, rampProgress)) {
                addViolation(Invariant.SLOW_START, event + ": " + count + " requests in a window, allowed "
                        + slowStartBudget(warmRatePerMs, rampProgress));
                return;
            }
        }
    }

    /** Returns the rate of the busiest other upstream between two times, in attempts per millisecond. */
    private double maxOtherRatePerMs(String upstream, long start, long end) {
        Map<String, Integer> counts = new HashMap<>();
        for (AttemptRecord attempt : history.attempts()) {
            long sentAt = times.sentAt(attempt);
            boolean inWindow = sentAt >= start && sentAt < end;
            if (inWindow && !attempt.upstream().equals(upstream)) {
                counts.merge(attempt.upstream(), 1, Integer::sum);
            }
        }
        int maxCount = counts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        return maxCount / (double) SidecarSettings.OVERLOAD_WINDOW_MS;
    }

    /**
     * Returns how many requests a cold upstream may get in one overload window, with an allowance for random
     * variation.
     *
     * @param warmRatePerMs the rate that it could serve when warm, in requests per millisecond
     * @param rampProgress the share of the ramp that has passed at the end of the window, from 0 to 1
     */
    private double slowStartBudget(double warmRatePerMs, double rampProgress) {
        double capacityShare = SidecarSettings.COLD_CAPACITY_SHARE
                + (1 - SidecarSettings.COLD_CAPACITY_SHARE) * rampProgress;
        double budget = settings.overloadFactor() * warmRatePerMs * capacityShare
                * SidecarSettings.OVERLOAD_WINDOW_MS;
        boolean small = budget < SMALL_BUDGET_REQUESTS;
        return small ? budget + 3 * Math.sqrt(budget) + 3 : budget + 2 * Math.sqrt(budget) + 2;
    }

    /**
     * Returns the attempts per millisecond and upstream in the median second. Seconds without attempts are
     * left out, because a run has pauses in its load.
     */
    private double medianRatePerMs() {
        List<AttemptRecord> all = history.attempts();
        Map<Long, Integer> bySecond = new HashMap<>();
        all.forEach(attempt -> bySecond.merge(times.sentAt(attempt) / NANOS_PER_SECOND, 1, Integer::sum));
        int[] counts = bySecond.values().stream().mapToInt(Integer::intValue).sorted().toArray();
        long upstreams = all.stream().map(AttemptRecord::upstream).distinct().count();
        return counts.length == 0 ? 0 : counts[counts.length / 2] / 1_000.0 / upstreams;
    }
}
