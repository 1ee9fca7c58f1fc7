package pondridge.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes upstreams' responses, on the event loop. Netty ends a header's name at the first blank, and
 * therefore accepts a line without a colon as a header without a value. This decoder rejects such a response
 * as malformed. Each response comes as a {@link Head} with an account for its memory.
 *
 * <p>Bytes that come while no response is expected belong to no request. They are discarded, and the event
 * {@link Event#UNEXPECTED_BYTES} tells the handlers that the connection can't be used any more.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    /** What the decoder tells the handlers behind it as a user event. */
    enum Event { UNEXPECTED_BYTES }

    /** The head of a response. Its receiver closes the account. */
    static final class Head extends DefaultHttpResponse {
        private final MemoryBudget.Account memory;

        private Head(HttpResponse response, MemoryBudget.Account memory) {
            super(response.protocolVersion(), response.status(), response.headers());
            this.memory = memory;
        }

        MemoryBudget.Account memory() {
            return memory;
        }
    }

    private final MemoryBudget budget;
    private DecoderMemory memory;
    /** Whether a request is out that has no final response yet. */
    private boolean responseExpected;
    private boolean informational;

    ResponseDecoder(MemoryBudget budget) {
        this.budget = budget;
        setCumulator(DecoderMemory.COPYING_CUMULATOR);
    }

    /** A request is being sent; its response may come from now on. */
    void expectResponse() {
        responseExpected = true;
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
    protected HttpMessage createMessage(String[] initialLine) {
        Head head = new Head((HttpResponse) super.createMessage(initialLine), budget.openResponse());
        informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        memory.messageBegun(head.memory());
        return head;
    }

    /** Called for each header line that continues after the name, so that there is at least one more byte. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        memory.headerDecoded();
        int next = start + length;
        while (line[next] == ' ' || line[next] == '\t') {
            next++;
        }
        if (line[next] != ':') {
            throw new IllegalArgumentException("no colon after the header name");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) throws Exception {
        int readableBytes = bytes.readableBytes();
        if (!responseExpected) {
            bytes.skipBytes(readableBytes);
            context.fireUserEventTriggered(Event.UNEXPECTED_BYTES);
            return;
        }
        super.decode(context, bytes, out);
        memory.decoded(readableBytes - bytes.readableBytes(), out);
        boolean messageEnded = !out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent;
        responseExpected = !messageEnded || informational;
    }
}
