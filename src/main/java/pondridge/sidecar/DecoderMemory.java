package pondridge.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.ByteToMessageDecoder.Cumulator;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Counts the memory of one connection and its decoder in the {@link MemoryBudget}: the connection itself,
 * bytes that are not decoded yet, and the head of the message being received. Used on the event loop only.
 */
final class DecoderMemory {
    /** The most bytes that a decoder is given at once, and so what it may keep beside an unfinished line. */
    private static final int MAX_PIECE_BYTES = 2 << 10;
    /** The objects of one open connection. */
    private static final int CONNECTION_BYTES = 8 << 10;
    /** The objects of a message without headers. */
    private static final int HEAD_BYTES = 512;
    /** The objects of one header, beside its text. */
    private static final int HEADER_BYTES = 160;

    /**
     * Copies received bytes into a buffer on the heap that is no larger than needed, and releases the direct
     * buffer that they were read into. Otherwise a few bytes of an unfinished message keep a whole read
     * buffer.
     */
    static final Cumulator COPYING_CUMULATOR = DecoderMemory::copy;

    /** Decodes a part of what has been received, and releases it. */
    interface PieceDecoder {
        void decode(ByteBuf piece) throws Exception;
    }

    private final MemoryBudget.Account connection;
    /** The account of the latest message; null before the first. */
    private MemoryBudget.Account message;
    private boolean readingHead;
    private int undecodedBytes;
    private int headTextBytes;
    /** The decoder keeps a buffer for its longest line so far. */
    private int longestHeadBytes;

    /** Creates the count of a connection that has just been opened. */
    DecoderMemory(MemoryBudget budget) {
        connection = budget.openRequest();
        connection.grow(CONNECTION_BYTES);
    }

    private static ByteBuf copy(ByteBufAllocator allocator, ByteBuf kept, ByteBuf received) {
        try {
            ByteBuf copy = allocator.heapBuffer(kept.readableBytes() + received.readableBytes());
            return copy.writeBytes(kept).writeBytes(received);
        } finally {
            kept.release();
            received.release();
        }
    }

    /** Has received bytes decoded piece by piece, and releases them. */
    static void decodePieces(ByteBuf received, PieceDecoder decoder) throws Exception {
        try {
            while (received.isReadable()) {
                int size = Math.min(received.readableBytes(), MAX_PIECE_BYTES);
                decoder.decode(received.readRetainedSlice(size));
            }
        } finally {
            received.release();
        }
    }

    /** A message's first line has been decoded. What its head holds is counted in its account. */
    void messageBegun(MemoryBudget.Account account) {
        message = account;
        readingHead = true;
        headTextBytes = 0;
        message.grow(HEAD_BYTES);
    }

    /**
     * A header's name has been decoded.
     *
     * @throws MemoryExhaustedException if there is no room for the header
     */
    void headerDecoded() {
        if (message != null && !message.tryGrow(HEADER_BYTES)) {
            throw new MemoryExhaustedException();
        }
    }

    /**
     * The decoder has run.
     *
     * @param bytes how many bytes it has decoded
     * @param out what it has decoded them to
     */
    void decoded(int bytes, List<Object> out) {
        if (readingHead) {
            headTextDecoded(bytes);
        }
        Object last = out.isEmpty() ? null : out.get(out.size() - 1);
        if (last instanceof HttpMessage || last instanceof LastHttpContent) {
            readingHead = false;
        }
    }

    private void headTextDecoded(int bytes) {
        headTextBytes += bytes;
        message.grow(bytes);
        if (headTextBytes > longestHeadBytes) {
            connection.grow(headTextBytes - longestHeadBytes);
            longestHeadBytes = headTextBytes;
        }
    }

    /** Tells how much the buffer of undecoded bytes takes now. */
    void setUndecodedBytes(int bytes) {
        connection.grow(bytes - undecodedBytes);
        undecodedBytes = bytes;
    }

    /** The connection has been closed. */
    void close() {
        connection.close();
        if (readingHead) {
            message.close();
        }
    }
}
