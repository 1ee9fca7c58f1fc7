package pondridge.sidecar;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetric;
import io.netty.buffer.ByteBufAllocatorMetricProvider;

/** Describes the memory that the process has in use, for the log. May be called on any thread. */
final class ProcessMemory {
    private static final long BYTES_PER_KB = 1 << 10;
    private static final long BYTES_PER_MB = 1 << 20;

    private ProcessMemory() { }

    /**
     * The Java heap, including objects that have not been collected yet, and the direct memory of the buffers
     * that sockets are read into.
     */
    static String describe() {
        Runtime runtime = Runtime.getRuntime();
        ByteBufAllocatorMetric buffers = ((ByteBufAllocatorMetricProvider) ByteBufAllocator.DEFAULT).metric();
        return "heap " + (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_MB + " of "
                + runtime.maxMemory() / BYTES_PER_MB + " MB, direct "
                + buffers.usedDirectMemory() / BYTES_PER_KB + " KiB";
    }
}
