package pondridge.testbed;

/**
 * The properties that have to hold under every fault. {@link InvariantChecker} checks most of them after a
 * run; violations of the others are reported by the class that observes them.
 */
enum Invariant {
    /** A request that was sent gets one complete response, at most half a second after its deadline. */
    ANSWERED,
    /** No connection is closed without a response to a request that was read or forwarded. */
    NOT_CLOSED_UPON,
    /** A served body is one that an upstream sent for this request, unchanged. */
    GENUINE,
    /** No attempt begins after the request's response or after its client has disconnected. */
    NOT_FORWARDED_AFTER_END,
    /**
     * A request that must not be processed twice is not sent again once an upstream may have processed it,
     * and no request has too many attempts.
     */
    NOT_DUPLICATED,
    /** The deadline that is sent to an upstream is at most the time that the client still waits. */
    DEADLINE_HONEST,
    /** An upstream that drains or has left the list gets no attempts, after a grace period. */
    DRAIN,
    /** A cold upstream gets no more requests than its reduced capacity allows. */
    SLOW_START,
    /** A client that sends no valid request gets an error or a closed connection in time. */
    BAD_CLIENT_DISMISSED,
    /**
     * A sidecar starts in time and does not exit without a signal. If it exits too late after SIGTERM, it is
     * killed, and its open requests violate ANSWERED or NOT_CLOSED_UPON.
     */
    ALIVE,
    /** The library in each sidecar recorded when it sent each attempt; otherwise the run proves nothing. */
    RECORDED,
    /** The sidecar's own self-check reports no violation. */
    SELF_CHECK,
    /** No file descriptor, connection or request entry is kept for requests that have ended. */
    NO_LEAK
}
