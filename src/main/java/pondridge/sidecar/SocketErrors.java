package pondridge.sidecar;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;

/** Classifies the errors of calls on a TCP connection. */
final class SocketErrors {
    private SocketErrors() { }

    /**
     * Whether an error means that the connection is lost. Any other error may be transient (a lack of buffers
     * or memory). If it is not, the next call finds the connection closed, since Linux reports a pending
     * error only once.
     */
    static boolean endsConnection(IOException error) {
        if (error instanceof ClosedChannelException) {
            return true;
        }
        String message = String.valueOf(error.getMessage());
        return message.contains("reset") || message.contains("Broken pipe");
    }
}
