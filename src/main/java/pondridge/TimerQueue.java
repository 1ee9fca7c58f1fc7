package pondridge;

import java.util.TreeSet;
import java.util.function.LongConsumer;

/** The balancer's timers, ordered by time. Only the earliest one is set as a timer of the host. */
final class TimerQueue {
    /** Timers with the same time run in the order in which they were scheduled. */
    record Timer(long at, long sequence, LongConsumer action) { }

    private final TreeSet<Timer> queue = new TreeSet<>((a, b) ->
            a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.sequence, b.sequence));
    private long nextSequence;
    private long hostTimerAt = Long.MAX_VALUE;  // MAX_VALUE if no host timer is set
    private long hostTimerToken;
    private final Balancer.Actions actions;

    TimerQueue(Balancer.Actions actions) {
        this.actions = actions;
    }

    /** Calls {@code action} with the current time at or after {@code at}. */
    Timer schedule(long at, LongConsumer action) {
        Timer timer = new Timer(at, nextSequence++, action);
        queue.add(timer);
        return timer;
    }

    /** Removes a timer, and with it all that its action refers to. Has no effect if the timer has run. */
    void cancel(Timer timer) {
        queue.remove(timer);
    }

    /** Sets the host timer if a timer is due before it. Called at the end of each event. */
    void armHostTimer() {
        if (!queue.isEmpty() && queue.first().at < hostTimerAt) {
            hostTimerAt = queue.first().at;
            actions.setTimer(++hostTimerToken, hostTimerAt);
        }
    }

    /**
     * Runs the timers that are due. The host timer is recognized by its token, not by its time: a host with a
     * coarse clock may fire it early, and it would then count as still set, so that no other would be set.
     */
    void timerFired(long now, long token) {
        if (token == hostTimerToken) {
            hostTimerAt = Long.MAX_VALUE;
        }
        while (!queue.isEmpty() && queue.first().at <= now) {
            queue.pollFirst().action.accept(now);
        }
    }
}
