package pondridge.sidecar;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import pondridge.sidecar.ReceivedRequest.Failure;

/**
 * The requests of one client connection that wait for those before them. Their memory is counted; where there
 * is no room a request is dropped, and the queue only remembers that one has to be refused in its place. Used
 * on the event loop only.
 */
final class RequestQueue {
    /** The objects of one entry with its timer, and of the refused requests that may follow it. */
    private static final int ENTRY_BYTES = 512;

    /** A request, or several in a row that have been dropped and are refused in their turn. */
    static final class Entry {
        private final ReceivedRequest request;
        private final long receivedAt;
        private final long firstPosition;
        private int count = 1;
        private long abortAt = Long.MAX_VALUE;
        private Future<?> abortTimer;

        private Entry(ReceivedRequest request, long position, long receivedAt) {
            this.request = request;
            this.firstPosition = position;
            this.receivedAt = receivedAt;
        }

        /** The request; null if it has been dropped and is to be refused. */
        ReceivedRequest request() {
            return request;
        }

        /** The earliest time at which the request may have arrived, of {@link System#nanoTime}. */
        long receivedAt() {
            return receivedAt;
        }

        private void cancelTimer() {
            if (abortTimer != null) {
                abortTimer.cancel(false);
            }
        }
    }

    private final Channel channel;
    private final LongConsumer abortListener;
    private final ArrayDeque<Entry> entries = new ArrayDeque<>(1);
    private int size;

    /**
     * Creates an empty queue.
     *
     * @param abortListener called with a request's position when its time is up and it still waits
     */
    RequestQueue(Channel channel, LongConsumer abortListener) {
        this.channel = channel;
        this.abortListener = abortListener;
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** The number of requests that wait, the dropped ones included. */
    int size() {
        return size;
    }

    /**
     * Adds a request, and closes its account if it is dropped.
     *
     * @param position the request's position on its connection
     * @param receivedAt the earliest time at which it may have arrived, of {@link System#nanoTime}
     * @param abortAt when the requests before it have to end, so that it gets a response in time; of the same
     *     clock, or {@link Long#MAX_VALUE} if that is not known
     * @return whether the request is kept; otherwise it will be refused
     */
    boolean add(ReceivedRequest request, long position, long receivedAt, long abortAt) {
        size++;
        boolean kept = request.failure() != Failure.NO_MEMORY_FOR_BODY
                && request.memory().growWithinLimit(ENTRY_BYTES);
        if (!kept) {
            request.memory().close();
        }
        Entry entry = entries.peekLast();
        if (!kept && entry != null && entry.request == null) {
            entry.count++;
        } else {
            entry = new Entry(kept ? request : null, position, receivedAt);
            entries.add(entry);
        }
        limitTimeBefore(entry, abortAt);
        return kept;
    }

    private void limitTimeBefore(Entry entry, long abortAt) {
        if (abortAt >= entry.abortAt) {
            return;
        }
        entry.cancelTimer();
        entry.abortAt = abortAt;
        entry.abortTimer = channel.eventLoop().schedule(() -> abortListener.accept(entry.firstPosition),
                Math.max(0, abortAt - System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    /**
     * Removes the first request and returns its entry, or null if the queue is empty. The caller takes over
     * the request's account.
     */
    Entry poll() {
        Entry first = entries.peek();
        if (first == null) {
            return null;
        }
        size--;
        first.count--;
        if (first.count == 0) {
            entries.remove();
            first.cancelTimer();
        }
        return first;
    }

    /** Drops all requests, and releases what they hold. */
    void clear() {
        for (Entry entry : entries) {
            entry.cancelTimer();
            if (entry.request != null) {
                entry.request.memory().close();
            }
        }
        entries.clear();
        size = 0;
    }
}
