package pondridge.sidecar;

/**
 * Thrown if a header of a client's request is missing or invalid; the client gets the message. It has no
 * stack trace, as clients decide how often it is thrown, and the trace would take most of a request's time.
 */
final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidRequestException(String message) {
        super(message, null, false, false);
    }
}
