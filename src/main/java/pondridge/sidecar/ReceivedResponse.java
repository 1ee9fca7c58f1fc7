package pondridge.sidecar;

import io.netty.handler.codec.http.HttpResponse;

/**
 * A response as received from an upstream.
 *
 * @param memory what the response holds; closed by the last one that uses the response
 */
record ReceivedResponse(HttpResponse head, byte[] body, MemoryBudget.Account memory) {
    /** Whether the upstream's bytes are no HTTP message. */
    boolean isMalformed() {
        return head.decoderResult().isFailure();
    }
}
