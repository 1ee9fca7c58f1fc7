package pondridge.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * A TCP connection that outlives reads and writes which fail for a moment. Netty takes an interrupted read
 * for the connection's end, and any failed call for its loss.
 */
final class RetryingSocketChannel extends NioSocketChannel {
    private static final int END_OF_STREAM = -1;
    private static final long RETRY_MS = 2;
    /** What goes on failing for so long is no passing fault. */
    private static final long LONGEST_FAULT_NS = 1_000_000_000;

    private IOException readFault;
    private long readFaultSince;
    private long writeFaultSince;

    /** A connection yet to be made. */
    RetryingSocketChannel() {
    }

    /** A connection that a listener has accepted. */
    RetryingSocketChannel(Channel parent, SocketChannel socket) {
        super(parent, socket);
    }

    /**
     * Reads what is there; 0 where the read was interrupted (the JDK's -3) or failed for a moment. An end
     * behind a fault is reported as the fault: the stream may not have come whole.
     */
    @Override
    protected int doReadBytes(ByteBuf buffer) throws Exception {
        int count;
        try {
            count = super.doReadBytes(buffer);
        } catch (IOException e) {
            return readLater(e);
        }
        if (count == END_OF_STREAM && readFault != null) {
            throw readFault;
        }
        if (count > 0) {
            readFault = null;
        }
        return count < END_OF_STREAM ? 0 : count;
    }

    /** Writes what can be written now; what fails for a moment is written later, in the same order. */
    @Override
    protected void doWrite(ChannelOutboundBuffer pending) throws Exception {
        try {
            super.doWrite(pending);
            writeFaultSince = 0;
        } catch (IOException e) {
            writeLater(e);
        }
    }

    private void writeLater(IOException fault) throws IOException {
        long now = System.nanoTime();
        if (writeFaultSince == 0) {
            writeFaultSince = now;
        }
        if (SocketErrors.endsConnection(fault) || now - writeFaultSince > LONGEST_FAULT_NS) {
            throw fault;
        }
        eventLoop().schedule(() -> {
            flush();
        }, RETRY_MS, TimeUnit.MILLISECONDS);
    }

    private int readLater(IOException fault) throws IOException {
        long now = System.nanoTime();
        if (readFault == null) {
            readFaultSince = now;
        }
        readFault = fault;
        if (SocketErrors.endsConnection(fault) || now - readFaultSince > LONGEST_FAULT_NS) {
            throw fault;
        }
        config().setAutoRead(false);
        eventLoop().schedule(() -> {
            config().setAutoRead(true);
        }, RETRY_MS, TimeUnit.MILLISECONDS);
        return 0;
    }
}
