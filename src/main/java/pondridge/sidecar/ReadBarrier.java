package pondridge.sidecar;

import java.util.concurrent.TimeUnit;

/**
 * Puts a task off until all that a client has sent has been read, since the close of the connection may
 * follow it. For a client that sends without a pause the wait is limited.
 *
 * <p>Used on the event loop only.
 */
final class ReadBarrier {
    /** Within this time the event loop polls its sockets, unless it is stalled; then it polls them first. */
    private static final long POLL_WAIT_MS = 1;
    /** A response to the request that waits still counts as given half a second after its deadline. */
    private static final long MAX_WAIT_NANOS = 400_000_000;

    private final RetryingSocketChannel channel;

    /** Creates a barrier for the tasks of a connection. */
    ReadBarrier(RetryingSocketChannel channel) {
        this.channel = channel;
    }

    /**
     * Runs a task after all events of the current poll, or later if more may be unread.
     *
     * @param stalled whether the last bytes were unread for long, so that more may have arrived meanwhile
     */
    void runWhenRead(boolean stalled, Runnable task) {
        if (stalled || channel.lastReadFilledBuffer()) {
            new Wait(task).forNextPoll();
        } else {
            channel.eventLoop().execute(task);
        }
    }

    /** The wait of one task: until a poll brings nothing, or two in a row bring less than they could. */
    private final class Wait {
        private final Runnable task;
        private final long latestAt = System.nanoTime() + MAX_WAIT_NANOS;
        private long readsBefore;
        /** Whether the last read took all that there was; the close may still come in the poll after it. */
        private boolean allRead;

        Wait(Runnable task) {
            this.task = task;
        }

        /**
         * A timer that is set while the loop handles its sockets may be due in the tasks that follow. Set by
         * one of those tasks, it comes after the next poll.
         */
        void forNextPoll() {
            channel.eventLoop().execute(() -> {
                readsBefore = channel.readCount();
                channel.eventLoop().schedule(this::pollEnded, POLL_WAIT_MS, TimeUnit.MILLISECONDS);
            });
        }

        private void pollEnded() {
            boolean nothingCame = channel.readCount() == readsBefore;
            boolean readBefore = allRead;
            allRead = !channel.lastReadFilledBuffer();
            if (nothingCame || readBefore && allRead || System.nanoTime() - latestAt >= 0) {
                task.run();
            } else {
                forNextPoll();
            }
        }
    }
}
