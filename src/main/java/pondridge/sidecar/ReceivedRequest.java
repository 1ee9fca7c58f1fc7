package pondridge.sidecar;

import io.netty.handler.codec.http.HttpRequest;

/**
 * A request as received from a client.
 *
 * @param body empty if the request could not be received
 * @param memory what the request holds; closed by the last one that uses the request
 * @param failure why the request could not be received, or {@link Failure#NONE}
 */
record ReceivedRequest(HttpRequest head, byte[] body, MemoryBudget.Account memory, Failure failure) {

    /** Why a request could not be received. */
    enum Failure {
        NONE,
        /** The client's bytes are no HTTP message; nothing after them can be decoded. */
        MALFORMED,
        BODY_TOO_LARGE,
        /** The request has an {@code Expect} header that is not supported. */
        EXPECTATION_UNSUPPORTED,
        /** There was no memory for its headers; nothing after them can be decoded. */
        NO_MEMORY_FOR_HEAD,
        NO_MEMORY_FOR_BODY
    }

    /** Whether further requests can be received after this one. */
    boolean canBeFollowed() {
        return failure != Failure.MALFORMED && failure != Failure.NO_MEMORY_FOR_HEAD;
    }

    /** Whether the request was not received for lack of memory. */
    boolean lackedMemory() {
        return failure == Failure.NO_MEMORY_FOR_HEAD || failure == Failure.NO_MEMORY_FOR_BODY;
    }
}
