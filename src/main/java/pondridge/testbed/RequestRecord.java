package pondridge.testbed;

/** What a client knows of one request; times of {@link System#nanoTime}, 0 for what did not happen. */
final class RequestRecord {
    /** How the request ended for its client. */
    enum End {
        /** Still waiting. */
        OPEN,
        /** 200. */
        SERVED,
        /** 429 or 503. */
        REFUSED,
        /** Any other status. */
        FAILED,
        /** The client closed its connection first. */
        LEFT,
        /** The sidecar did not take the request: refused, or closed over an unread request. */
        NOT_TAKEN,
        /** The connection ended without an answer. */
        CLOSED,
        /** The connection ended within the answer. */
        TRUNCATED,
        /** No whole answer until well after the deadline. */
        UNANSWERED
    }

    final String id;
    final int sidecar;
    final RequestClass kind;
    final int deadlineMs;
    volatile long sentAt;
    volatile long endedAt;
    volatile End end = End.OPEN;
    /** The number that the served body carries, -1 where it carries none. */
    volatile long servedAttempt = -1;
    volatile String detail = "";

    RequestRecord(String id, int sidecar, RequestClass kind, int deadlineMs) {
        this.id = id;
        this.sidecar = sidecar;
        this.kind = kind;
        this.deadlineMs = deadlineMs;
    }

    void end(End how, String why) {
        endedAt = System.nanoTime();
        detail = why;
        end = how;
    }

    @Override
    public String toString() {
        return id + " " + kind + " of sidecar " + sidecar + ", " + deadlineMs + " ms, " + end
                + (endedAt == 0 || sentAt == 0 ? "" : " after " + (endedAt - sentAt) / 1_000_000 + " ms")
                + (detail.isEmpty() ? "" : " (" + detail + ")");
    }
}
