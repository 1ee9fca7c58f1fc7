package pondridge.testbed;

/**
 * One request as its client observes it. Times are values of {@link System#nanoTime}, and 0 for an event that
 * has not happened. Written by a thread of the {@link LoadGenerator}, read by the {@link InvariantChecker}.
 */
final class RequestRecord {
    /** How the request ended for its client. */
    enum End {
        /** Not ended: the client still waits. */
        OPEN,
        /** Response with status 200. */
        SERVED,
        /** Response with status 429 or 503. */
        REFUSED,
        /** Response with any other status. */
        FAILED,
        /** The client closed or reset its connection before the response. */
        LEFT,
        /** The request was not written in full, or the sidecar closed the connection before reading it. */
        NOT_TAKEN,
        /** The connection ended without a response. */
        CLOSED,
        /** The connection ended within the response. */
        TRUNCATED,
        /** No complete response within {@link LoadGenerator#RESPONSE_SLACK_MS} after the deadline. */
        UNANSWERED
    }

    final String id;
    final int sidecar;
    final RequestClass requestClass;
    final int deadlineMs;
    /** When the whole request had been written. */
    volatile long sentAt;
    volatile long endedAt;
    /** For a client that left: when the close of its connection had returned. */
    volatile long closedAt;
    /** The client's port on the connection that the request was last sent on. */
    volatile int clientPort;
    volatile End end = End.OPEN;
    /** The attempt number in the body that was served, or -1 if there is none for this request. */
    volatile long servedAttempt = -1;
    /** Why the request ended so; "closes" if its response announces the end of the connection. */
    volatile String detail = "";

    RequestRecord(String id, int sidecar, RequestClass requestClass, int deadlineMs) {
        this.id = id;
        this.sidecar = sidecar;
        this.requestClass = requestClass;
        this.deadlineMs = deadlineMs;
    }

    /** Records the end of the request, at the current time. */
    void end(End result, String reason) {
        endedAt = System.nanoTime();
        detail = reason;
        end = result;
    }

    @Override
    public String toString() {
        return id + " " + requestClass + " of sidecar " + sidecar + ", " + deadlineMs + " ms, " + end
                + (endedAt == 0 || sentAt == 0 ? "" : " after " + (endedAt - sentAt) / 1_000_000 + " ms")
                + (detail.isEmpty() ? "" : " (" + detail + ")");
    }
}
