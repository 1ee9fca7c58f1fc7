package pondridge.sidecar;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;

/** Tells what a failed call on a TCP connection means. */
final class SocketErrors {
    private SocketErrors() { }

    /**
     * Whether the connection is known to be gone. Everything else may pass (a lack of buffers or memory), or
     * is followed by the connection's end at the next call, as Linux reports a pending error but once.
     */
    static boolean endsConnection(IOException fault) {
        if (fault instanceof ClosedChannelException) {
            return true;
        }
        String message = String.valueOf(fault.getMessage());
        return message.contains("reset") || message.contains("Broken pipe");
    }
}
