package pondridge.sidecar;

import io.netty.channel.EventLoop;
import java.util.EnumMap;
import java.util.Map;

/**
 * Checks the invariants of requests and connections. Before a request is started, sent, retried or finished
 * with a response, or an idle connection closed, the caller checks here whether that is allowed. A step that
 * is not allowed is counted as blocked, an invariant found broken is counted as a violation and logged. The
 * state line shows both counts.
 *
 * <p>The {@code may} methods belong on the event loop; a call on another thread is reported as a violation.
 * The {@code report} methods may be called on any thread.
 */
final class LifecycleGuard {
    /** A step that needs permission. */
    enum Step { START, SEND, REPEAT, ANSWER, CLOSE }

    /** An invariant that was found broken. */
    enum Violation {
        /** A method was called on a thread other than the event loop. */
        OFF_LOOP,
        /** A request got its response more than half a second after the client's timeout. */
        ANSWERED_LATE,
        /** The sidecar closed a connection although a request on it had no response. */
        CLOSED_UNANSWERED,
        /** An attempt ended a second time. */
        ENDED_TWICE,
        /** The handling of an event ended with an exception. */
        EXCEPTION
    }

    private static final long MAX_OVERDUE_NANOS = 500_000_000;

    private final EventLoop loop;
    private final Map<Step, Long> blocked = new EnumMap<>(Step.class);
    private final Map<Violation, Long> violations = new EnumMap<>(Violation.class);

    LifecycleGuard(EventLoop loop) {
        this.loop = loop;
    }

    /** A request is started only while its client is connected. */
    boolean mayStart(boolean clientConnected) {
        return allow(Step.START, clientConnected);
    }

    /**
     * An attempt is sent only while the client waits for its response and the deadline has not passed.
     *
     * @param clientWaiting whether the request is unfinished and its client connected
     */
    boolean maySend(boolean clientWaiting, boolean timeLeft) {
        return allow(Step.SEND, clientWaiting && timeLeft);
    }

    /**
     * A further attempt is made only below the limit on attempts, and only if it is safe.
     *
     * @param safe whether the request class allows repeats or no attempt can have run
     */
    boolean mayRetry(boolean attemptsLeft, boolean safe) {
        return allow(Step.REPEAT, attemptsLeft && safe);
    }

    /** A request gets one final response. */
    boolean mayRespond(boolean unfinished) {
        return allow(Step.ANSWER, unfinished);
    }

    /**
     * A connection is closed only while idle: without a request on it, arriving or waiting for its response,
     * and without a response being written.
     */
    boolean mayClose(boolean idle) {
        return allow(Step.CLOSE, idle);
    }

    private boolean allow(Step step, boolean allowed) {
        checkLoop(step.name());
        if (!allowed) {
            blocked.merge(step, 1L, Long::sum);
        }
        return allowed;
    }

    /** Checks that the caller is on the event loop, and reports a violation if not. */
    boolean checkLoop(String where) {
        boolean onLoop = loop.inEventLoop();
        if (!onLoop) {
            report(Violation.OFF_LOOP, where + " on " + Thread.currentThread().getName());
        }
        return onLoop;
    }

    /** Checks the time of a response; {@code overdueNanos} is negative before the client's timeout. */
    void checkResponseTime(long overdueNanos, String requestId) {
        if (overdueNanos > MAX_OVERDUE_NANOS) {
            report(Violation.ANSWERED_LATE,
                    requestId + " " + overdueNanos / 1_000_000 + " ms after its timeout");
        }
    }

    /** Counts a violation, and logs it if the count is a power of two, which limits the lines in the log. */
    synchronized void report(Violation violation, String detail) {
        long count = violations.merge(violation, 1L, Long::sum);
        if (Long.bitCount(count) == 1) {
            System.err.println("invariant broken: " + violation + ", " + count + " times so far: " + detail);
        }
    }

    /** Reports an unexpected exception. */
    void report(String where, Throwable exception) {
        StackTraceElement[] trace = exception.getStackTrace();
        report(Violation.EXCEPTION, where + ": " + exception + (trace.length == 0 ? "" : " at " + trace[0]));
    }

    /** The number of violations so far. */
    synchronized long violations() {
        return violations.values().stream().mapToLong(Long::longValue).sum();
    }

    /** The counts as the state line shows them. */
    @Override
    public synchronized String toString() {
        return "violations " + violations() + (violations.isEmpty() ? "" : " " + violations) + ", blocked "
                + blocked;
    }
}
