package pondridge.sidecar;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * A timer that can be set again, which cancels its previous setting: the event loop keeps one task for it at
 * most. Used on the event loop only.
 */
final class ReplaceableTimer {
    private final EventExecutor loop;
    /** Null while the timer is not set. */
    private Future<?> scheduled;

    /** Creates a timer that is not set. */
    ReplaceableTimer(EventExecutor loop) {
        this.loop = loop;
    }

    /** Runs a task after a delay, in place of the task that was set before. */
    void set(Runnable task, long delay, TimeUnit unit) {
        cancel();
        scheduled = loop.schedule(task, delay, unit);
    }

    /** Cancels the task that has been set, if it has not run yet. */
    void cancel() {
        if (scheduled != null) {
            scheduled.cancel(false);
            scheduled = null;
        }
    }
}
