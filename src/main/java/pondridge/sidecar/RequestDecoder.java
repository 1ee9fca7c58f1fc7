package pondridge.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes the requests of one client connection, on the event loop, and tracks whether a request has been
 * received in part. Each request comes as a {@link Head} with an account for its memory.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** The head of a request. Its receiver closes the account. */
    static final class Head extends DefaultHttpRequest {
        private final MemoryBudget.Account memory;

        private Head(HttpRequest request, MemoryBudget.Account memory) {
            super(request.protocolVersion(), request.method(), request.uri(), request.headers());
            this.memory = memory;
        }

        MemoryBudget.Account memory() {
            return memory;
        }
    }

    private final MemoryBudget budget;
    private DecoderMemory memory;
    /** Whether the first line of a request has been decoded and its end has not. */
    private boolean insideMessage;

    RequestDecoder(MemoryBudget budget) {
        this.budget = budget;
        setCumulator(DecoderMemory.COPYING_CUMULATOR);
    }

    /** Whether some bytes of a request have been received, but not all. */
    boolean hasPartialRequest() {
        return insideMessage || actualReadableBytes() > 0;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        memory = new DecoderMemory(budget);
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext context) throws Exception {
        memory.close();
        super.handlerRemoved0(context);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        DecoderMemory.decodePieces((ByteBuf) message, piece -> super.channelRead(context, piece));
        memory.setUndecodedBytes(internalBuffer().capacity());
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        insideMessage = true;
        Head head = new Head((HttpRequest) super.createMessage(initialLine), budget.openRequest());
        memory.messageBegun(head.memory());
        return head;
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        memory.headerDecoded();
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) throws Exception {
        int readableBytes = bytes.readableBytes();
        super.decode(context, bytes, out);
        memory.decoded(readableBytes - bytes.readableBytes(), out);
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            insideMessage = false;
        }
    }
}
