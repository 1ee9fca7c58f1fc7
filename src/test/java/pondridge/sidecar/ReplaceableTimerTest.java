package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ReplaceableTimerTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ReplaceableTimer timer = new ReplaceableTimer(channel.eventLoop());
    private final List<String> ran = new ArrayList<>();

    /** Each new setting of the balancer's timer left the one before in the event loop until its time. */
    @Test
    void replacedTasksStayedInTheEventLoop() {
        channel.freezeTime();
        for (int day = 1; day < 100; day++) {
            timer.set(() -> ran.add("late"), day, TimeUnit.DAYS);
        }
        timer.set(() -> ran.add("soon"), 1, TimeUnit.SECONDS);
        channel.advanceTimeBy(1, TimeUnit.SECONDS);
        channel.runScheduledPendingTasks();
        assertEquals(List.of("soon"), ran);
        assertFalse(channel.hasPendingTasks(), "no other task is left");
        channel.advanceTimeBy(100, TimeUnit.DAYS);
        channel.runScheduledPendingTasks();
        assertEquals(List.of("soon"), ran);
    }

    @Test
    void cancelledTaskDoesNotRun() {
        channel.freezeTime();
        timer.set(() -> ran.add("cancelled"), 1, TimeUnit.SECONDS);
        timer.cancel();
        channel.advanceTimeBy(1, TimeUnit.SECONDS);
        channel.runScheduledPendingTasks();
        assertEquals(List.of(), ran);
    }
}
