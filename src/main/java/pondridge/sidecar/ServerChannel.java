package pondridge.sidecar;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;

/** A listening socket that accepts connections as {@link RetryingSocketChannel}s. */
final class ServerChannel extends NioServerSocketChannel {
    private static final int MAX_READS_PER_LOOP = 16;

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        SocketChannel socket = javaChannel().accept();
        if (socket == null) {
            return 0;
        }
        try {
            RetryingSocketChannel connection = new RetryingSocketChannel(this, socket);
            // Keeps reading, up to the maximum, until the socket is empty, so that a close right after a
            // request is seen together with it.
            AdaptiveRecvByteBufAllocator buffers = new AdaptiveRecvByteBufAllocator();
            buffers.maxMessagesPerRead(MAX_READS_PER_LOOP);
            buffers.respectMaybeMoreData(false);
            connection.config().setRecvByteBufAllocator(buffers);
            accepted.add(connection);
        } catch (RuntimeException e) {
            socket.close();
            throw e;
        }
        return 1;
    }
}
