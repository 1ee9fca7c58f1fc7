package pondridge.testbed;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Idle clients that hold connections to a sidecar and send nothing on them. */
final class IdleClients implements AutoCloseable {
    private final List<HttpExchange> connections = new ArrayList<>();

    /** Connects so many times, or as often as the sidecar lets it. */
    IdleClients(SidecarProcess sidecar, int size) {
        try {
            for (int i = 0; i < size; i++) {
                connections.add(new HttpExchange(sidecar.address()));
            }
        } catch (IOException e) {
            // The sidecar ends or takes no more; those that are in stay.
        }
    }

    @Override
    public void close() {
        connections.forEach(HttpExchange::reset);
    }
}
