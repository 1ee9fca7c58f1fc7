package pondridge.sidecar;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;

/** A listener whose connections are {@link RetryingSocketChannel}s. */
final class ServerChannel extends NioServerSocketChannel {
    private static final int MOST_READS = 16;

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        SocketChannel socket = javaChannel().accept();
        if (socket == null) {
            return 0;
        }
        try {
            RetryingSocketChannel connection = new RetryingSocketChannel(this, socket);
            // Reads until nothing more is there, so that a close right behind a request is seen with it.
            AdaptiveRecvByteBufAllocator buffers = new AdaptiveRecvByteBufAllocator();
            buffers.maxMessagesPerRead(MOST_READS);
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
