package pondridge.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Limits how much one read of a connection takes from its socket, so that a message for which there is no
 * room leaves all but its beginning in the socket. The limit can be lifted once there is room.
 *
 * <p>One instance belongs to one connection; used on the event loop only.
 */
final class ReadLimiter implements RecvByteBufAllocator {
    /** A message within the allowance of a memory account is read at once. */
    private static final int MAX_READ_BYTES = MemoryBudget.ACCOUNT_ALLOWANCE_BYTES;

    private final RecvByteBufAllocator allocator = new AdaptiveRecvByteBufAllocator();
    private boolean lifted;

    /** Limits the following reads. */
    void limit() {
        lifted = false;
    }

    /** Lets the following reads take as much as they can. */
    void lift() {
        lifted = true;
    }

    @Override
    @SuppressWarnings("deprecation")
    public Handle newHandle() {
        return new LimitedHandle(allocator.newHandle());
    }

    /** Allocates the buffers of reads. */
    @SuppressWarnings("deprecation")
    private final class LimitedHandle extends DelegatingHandle {
        LimitedHandle(Handle delegate) {
            super(delegate);
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator bufferAllocator) {
            return bufferAllocator.ioBuffer(guess());
        }

        @Override
        public int guess() {
            int size = super.guess();
            return lifted ? size : Math.min(size, MAX_READ_BYTES);
        }
    }
}
