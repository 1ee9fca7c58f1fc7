package pondridge.testbed;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

/**
 * Controls the faults of one process through the file that its preloaded library maps. The file's times are
 * those of {@link System#nanoTime}, which on Linux reads the same monotonic clock as the library.
 */
final class FaultControl {
    private static final int SLOT_BYTES = 40;
    private static final int END_OFFSET = 8;
    private static final int ERROR_OFFSET = 16;
    private static final int PER_MILLE_OFFSET = 20;
    private static final int STEP_OFFSET = 24;
    private static final int INJECTED_COUNT_OFFSET = 32;
    private static final int ALL_CALLS_PER_MILLE = 1000;

    private final Path file;
    private final MappedByteBuffer slots;

    FaultControl(Path file) throws IOException {
        this.file = file;
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ,
                StandardOpenOption.WRITE)) {
            slots = channel.map(FileChannel.MapMode.READ_WRITE, 0,
                    (long) SLOT_BYTES * SystemFault.values().length);
        }
        slots.order(ByteOrder.nativeOrder());
    }

    Path file() {
        return file;
    }

    /** Makes every call of this type fail, from now on for the given duration. */
    void fail(SystemFault fault, Errno error, Duration duration) {
        fail(fault, error, duration, ALL_CALLS_PER_MILLE);
    }

    /** Makes the given number of a thousand calls of this type fail, from now on for the given duration. */
    void fail(SystemFault fault, Errno error, Duration duration, int perMille) {
        int slot = slot(fault);
        slots.putInt(slot + ERROR_OFFSET, error.number());
        slots.putInt(slot + PER_MILLE_OFFSET, perMille);
        activate(slot, duration);
    }

    /** Shifts the wall clock that the process reads by a step, from now on for the given duration. */
    void stepWallClock(Duration step, Duration duration) {
        int slot = slot(SystemFault.WALL_CLOCK);
        slots.putInt(slot + PER_MILLE_OFFSET, ALL_CALLS_PER_MILLE);
        slots.putLong(slot + STEP_OFFSET, step.toNanos());
        activate(slot, duration);
    }

    private void activate(int slot, Duration duration) {
        long now = System.nanoTime();
        slots.putLong(slot, now);
        slots.putLong(slot + END_OFFSET, now + duration.toNanos());
    }

    /** Ends all faults. */
    void clear() {
        for (SystemFault fault : SystemFault.values()) {
            slots.putLong(slot(fault) + END_OFFSET, 0);
        }
    }

    /** Returns how many calls of each type were changed; types without any are left out. */
    Map<SystemFault, Long> injectedCounts() {
        Map<SystemFault, Long> injectedCounts = new EnumMap<>(SystemFault.class);
        for (SystemFault fault : SystemFault.values()) {
            long count = slots.getLong(slot(fault) + INJECTED_COUNT_OFFSET);
            if (count > 0) {
                injectedCounts.put(fault, count);
            }
        }
        return injectedCounts;
    }

    private static int slot(SystemFault fault) {
        return fault.ordinal() * SLOT_BYTES;
    }
}
