package pondridge.testbed;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Clients that open connections to a sidecar, send nothing on them, and so use up its file descriptors. */
final class IdleClients implements AutoCloseable {
    private final List<HttpConnection> connections = new ArrayList<>();

    /** Opens the given number of connections, or fewer if one cannot be opened. */
    IdleClients(SidecarProcess sidecar, int count) {
        try {
            for (int i = 0; i < count; i++) {
                connections.add(new HttpConnection(sidecar.address()));
            }
        } catch (IOException e) {
            // The sidecar has exited or accepts no more connections. Those that are open stay open.
        }
    }

    /** Resets all connections. */
    @Override
    public void close() {
        connections.forEach(HttpConnection::reset);
    }
}
