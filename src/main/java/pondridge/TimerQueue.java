package pondridge;

import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/** The balancer's timers, ordered by time. Only the earliest one is set as a timer of the host. */
final class TimerQueue {
    /** Timers with the same time run in the order in which they were scheduled. */
    private record Timer(long at, long sequence, LongConsumer action) { }

    private final PriorityQueue<Timer> queue = new PriorityQueue<>((a, b) ->
            a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.sequence, b.sequence));
    private long nextSequence;
    private long hostTimerAt = Long.MAX_VALUE;  // MAX_VALUE if no host timer is set
    private long hostTimerToken;
    private final Balancer.Actions actions;

    TimerQueue(Balancer.Actions actions) {
        this.actions = actions;
    }

    /** Calls {@code action} with the current time at or after {@code at}. */
    void schedule(long at, LongConsumer action) {
        queue.add(new Timer(at, nextSequence++, action));
    }

    /** Sets the host timer if a timer is due before it. Called at the end of each event. */
    void armHostTimer() {
        if (!queue.isEmpty() && queue.peek().at < hostTimerAt) {
            hostTimerAt = queue.peek().at;
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
        while (!queue.isEmpty() && queue.peek().at <= now) {
            queue.poll().action.accept(now);
        }
    }
}
