package pondridge.sidecar;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;

/**
 * Counts the memory that connections, requests and responses hold, and limits it, so that clients and
 * upstreams can't exhaust the heap. Each holder has an {@link Account}. A holder that finds no room refuses
 * its request, or stops reading its connection until there is room again.
 *
 * <p>Used on the event loop only. Sizes are in bytes; those of objects are estimates, rounded up.
 */
final class MemoryBudget {
    /**
     * An account may hold this much beyond the limit, so that ordinary small messages pass beside large ones,
     * until all accounts together are half of the budget beyond it.
     */
    static final int ACCOUNT_ALLOWANCE_BYTES = 4 << 10;
    private static final long BYTES_PER_MB = 1 << 20;
    /** What the process needs beside the Java heap: code, classes, stacks and I/O buffers. */
    private static final long NON_HEAP_BYTES = 32 * BYTES_PER_MB;
    /** What the heap holds without connections: the balancer, its upstreams, and the libraries' objects. */
    private static final long BASE_HEAP_BYTES = 6 * BYTES_PER_MB;
    /** The other part of the heap is for holders beyond the limit and for objects not collected yet. */
    private static final int HEAP_DIVISOR = 2;
    private static final long MIN_LIMIT_BYTES = 2 * BYTES_PER_MB;

    private final long limit;
    /** Requests leave a quarter to responses: each response that is received makes room. */
    private final long requestLimit;
    private final Executor executor;
    private final Queue<BooleanSupplier> waiters = new ArrayDeque<>();
    private boolean resumeScheduled;
    private long used;
    private long maxUsed;
    private long denials;
    private long waits;

    /**
     * Creates a budget of a given size.
     *
     * @param executor runs waiters, see {@link #awaitRoom}; the event loop
     */
    MemoryBudget(long limit, Executor executor) {
        this.limit = limit;
        this.requestLimit = limit / 4 * 3;
        this.executor = executor;
    }

    /**
     * Creates a budget that fits the heap and the memory limit of the process.
     *
     * @param maxHeapBytes the largest size of the Java heap
     * @param maxProcessMb the memory limit of the process in MB
     */
    static MemoryBudget of(long maxHeapBytes, int maxProcessMb, Executor executor) {
        long heapBytes = Math.min(maxHeapBytes, maxProcessMb * BYTES_PER_MB - NON_HEAP_BYTES);
        long limit = (heapBytes - BASE_HEAP_BYTES) / HEAP_DIVISOR;
        return new MemoryBudget(Math.max(MIN_LIMIT_BYTES, limit), executor);
    }

    /** Opens an account for a request, or for a connection. */
    Account openRequest() {
        return new Account(requestLimit);
    }

    /** Opens an account for a response. */
    Account openResponse() {
        return new Account(limit);
    }

    /** The total that all accounts hold. */
    long used() {
        return used;
    }

    /** How often a holder has begun to wait for room. */
    long waits() {
        return waits;
    }

    /** The size of the budget. */
    long limit() {
        return limit;
    }

    /**
     * Has a waiter called, on the event loop, when memory has been released, until it returns true. Waiters
     * are called in the order in which they began to wait; one that returns false keeps those behind it
     * waiting.
     */
    void awaitRoom(BooleanSupplier waiter) {
        waits++;
        waiters.add(waiter);
    }

    /** Ends the wait of a waiter, if it waits. */
    void stopWaiting(BooleanSupplier waiter) {
        if (waiters.remove(waiter)) {
            scheduleResume();
        }
    }

    private void scheduleResume() {
        if (!resumeScheduled && !waiters.isEmpty()) {
            resumeScheduled = true;
            executor.execute(this::resumeWaiters);
        }
    }

    private void resumeWaiters() {
        resumeScheduled = false;
        while (!waiters.isEmpty() && waiters.peek().getAsBoolean()) {
            waiters.remove();
        }
    }

    private void add(long bytes) {
        used += bytes;
        maxUsed = Math.max(maxUsed, used);
        if (bytes < 0) {
            scheduleResume();
        }
    }

    /** For the log: what is held, the most that was held, and how often there was no room. */
    @Override
    public String toString() {
        return used / 1024 + " of " + limit / 1024 + " KiB held (at most " + maxUsed / 1024 + "), "
                + denials + " denied, " + waits + " waited";
    }

    /** What one holder holds. Closing it releases all of that. */
    final class Account {
        private final long budgetLimit;
        private long held;
        private boolean closed;

        private Account(long budgetLimit) {
            this.budgetLimit = budgetLimit;
        }

        /** Adds to what is held unless there is no room for it; returns whether it has been added. */
        boolean tryGrow(long bytes) {
            boolean small = held + bytes <= ACCOUNT_ALLOWANCE_BYTES;
            return tryGrow(bytes, small ? budgetLimit + limit / 2 : budgetLimit);
        }

        /** Adds to what is held, whether or not there is room. Has no effect once the account is closed. */
        void grow(long bytes) {
            if (!closed) {
                held += bytes;
                add(bytes);
            }
        }

        /** Releases a part of what is held. */
        void shrink(long bytes) {
            grow(-bytes);
        }

        /**
         * Like {@link #tryGrow}, but without the allowance: for holders whose number is not limited
         * otherwise.
         */
        boolean growWithinLimit(long bytes) {
            return tryGrow(bytes, budgetLimit);
        }

        private boolean tryGrow(long bytes, long usedLimit) {
            if (used + bytes > usedLimit) {
                denials++;
                return false;
            }
            grow(bytes);
            return true;
        }

        /** Releases all that is held. May be called more than once. */
        void close() {
            shrink(held);
            closed = true;
        }
    }
}
