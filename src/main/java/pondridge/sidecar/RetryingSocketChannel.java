package pondridge.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * A TCP connection that tolerates transient errors of reads and writes: the failed call is repeated a little
 * later. Netty alone treats an interrupted read as the end of the stream, and any failed call as the loss of
 * the connection.
 */
final class RetryingSocketChannel extends NioSocketChannel {
    private static final int END_OF_STREAM = -1;
    private static final long RETRY_DELAY_MS = 2;
    /** Errors that persist longer than this are not transient and close the connection. */
    private static final long MAX_ERROR_DURATION_NANOS = 1_000_000_000;

    /** The latest read error if no byte has been read since; else null. */
    private IOException readError;
    private long readFailingSince;
    /** Whether the latest reads have failed or were interrupted. */
    private boolean readsDelayed;
    private long readsDelayedSince;
    /** For how long reads had failed before the bytes that have been read since the socket was empty. */
    private long lastDelayNanos;
    private long writeFailingSince;
    private long readCount;
    private boolean lastReadFilledBuffer;

    /** Creates a channel that is not connected. */
    RetryingSocketChannel() {
    }

    /** Creates the channel of an accepted connection. */
    RetryingSocketChannel(Channel parent, SocketChannel socket) {
        super(parent, socket);
    }

    /**
     * Reads the available bytes. Returns 0 if the read was interrupted (-3 from the JDK) or its error may be
     * transient. An end of stream that follows an error is reported as that error, since the stream may be
     * incomplete.
     */
    @Override
    protected int doReadBytes(ByteBuf buffer) throws Exception {
        int count;
        int room = buffer.writableBytes();
        try {
            count = super.doReadBytes(buffer);
        } catch (IOException e) {
            return retryRead(e);
        }
        if (count == END_OF_STREAM && readError != null) {
            throw readError;
        }
        if (count < END_OF_STREAM) {
            noteDelay();
            return 0;
        }
        if (count > 0) {
            readCount++;
            lastReadFilledBuffer = count == room;
            readError = null;
            endDelay();
        } else {
            lastDelayNanos = 0;
        }
        return count;
    }

    /** How many reads have brought bytes. */
    long readCount() {
        return readCount;
    }

    /** Whether the last read that brought bytes took as many as it could, so that more may wait. */
    boolean lastReadFilledBuffer() {
        return lastReadFilledBuffer;
    }

    /**
     * Whether bytes, the end of the stream or an error wait in the socket. A byte that is found is lost, so
     * that the connection can only be closed then.
     */
    boolean hasUnreadBytes() {
        try {
            return javaChannel().read(ByteBuffer.allocate(1)) != 0;
        } catch (IOException e) {
            return true;
        }
    }

    private void endDelay() {
        if (readsDelayed) {
            lastDelayNanos = System.nanoTime() - readsDelayedSince;
            readsDelayed = false;
        }
    }

    private void noteDelay() {
        if (!readsDelayed) {
            readsDelayed = true;
            readsDelayedSince = System.nanoTime();
        }
    }

    /**
     * For how many nanoseconds the latest bytes may have been unread because reads failed; 0 if none had
     * failed before them. A message may take several reads, and the delay counts until the socket is empty.
     */
    long lastDelayNanos() {
        return lastDelayNanos;
    }

    /** Writes as much as the socket accepts. Bytes left over by a transient error are written later. */
    @Override
    protected void doWrite(ChannelOutboundBuffer buffer) throws Exception {
        try {
            super.doWrite(buffer);
            writeFailingSince = 0;
        } catch (IOException e) {
            retryWrite(e);
        }
    }

    private void retryWrite(IOException error) throws IOException {
        long now = System.nanoTime();
        if (writeFailingSince == 0) {
            writeFailingSince = now;
        }
        if (SocketErrors.endsConnection(error) || now - writeFailingSince > MAX_ERROR_DURATION_NANOS) {
            throw error;
        }
        eventLoop().schedule(() -> {
            flush();
        }, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    private int retryRead(IOException error) throws IOException {
        noteDelay();
        long now = System.nanoTime();
        if (readError == null) {
            readFailingSince = now;
        }
        readError = error;
        if (SocketErrors.endsConnection(error) || now - readFailingSince > MAX_ERROR_DURATION_NANOS) {
            throw error;
        }
        config().setAutoRead(false);
        eventLoop().schedule(() -> {
            config().setAutoRead(true);
        }, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        return 0;
    }
}
