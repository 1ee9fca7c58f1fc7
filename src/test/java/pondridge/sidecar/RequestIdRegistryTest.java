package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which ids are known, without connections. */
class RequestIdRegistryTest {
    private static final long RETENTION = 1_000;
    private final RequestIdRegistry registry = new RequestIdRegistry(RETENTION);

    @Test
    void anIdIsKnownWhileItsRequestIsOpen() {
        assertTrue(registry.begin("a", 0));
        assertFalse(registry.begin("a", 100 * RETENTION), "however long it is open");
        registry.end("a", false, 100 * RETENTION);
        assertTrue(registry.begin("a", 100 * RETENTION), "it cannot have run");
    }

    @Test
    void anIdThatMayHaveRunIsKnownForTheRetentionTime() {
        registry.begin("a", 0);
        registry.end("a", true, 10);
        assertFalse(registry.begin("a", RETENTION + 9));
        assertTrue(registry.begin("a", RETENTION + 10));
    }

    /** Clients choose ids: neither their number nor their length may exhaust the memory. */
    @Test
    void whatIsKeptIsLimited() {
        String longId = "x".repeat(8_000);
        for (int i = 0; i < 3 * RequestIdRegistry.MAX_ENDED; i++) {
            registry.begin(longId + i, 0);
            registry.end(longId + i, true, 0);
        }
        assertEquals(RequestIdRegistry.MAX_ENDED, registry.size());
        assertFalse(registry.begin(longId + (3 * RequestIdRegistry.MAX_ENDED - 1), 0), "the latest is known");
        registry.begin("a", RETENTION);
        assertEquals(1, registry.size(), "ended ones are forgotten");
    }
}
