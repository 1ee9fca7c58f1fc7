package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Retries of keyed requests near the end of the time for which upstreams recognize their keys. */
class KeyWindowTest {
    private static final long KEY_TTL_NANOS = 600_000_000;
    /** Earlier than the second packet of a connect, which the system sends after one second. */
    private static final long CONNECT_DELAY_MS = 500;

    /** A retry was written when its connection came up, although the key had been forgotten meanwhile. */
    @Test
    void aKeyedRequestRanTwiceWhenTheConnectionCameUpLate() throws Exception {
        try (FakeUpstream failing = new FakeUpstream((socket, head) ->
                FakeUpstream.reply(socket, "500 Failed", "", ""));
                ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            full.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakeUpstream.TIMEOUT_S));
            List<Socket> fillers = UpstreamClientTest.fillBacklog(full);
            try (SidecarHarness harness = new SidecarHarness(configJson(failing, full));
                    SidecarHarness.Client client = new SidecarHarness.Client(harness.address)) {
                FakeUpstream.write(client.socket, SidecarHarness.post("hold", "Idempotency-Key: k\r\n", "x"));
                FakeUpstream.next(failing.heads);
                Thread.sleep(CONNECT_DELAY_MS);
                for (int i = 0; i < fillers.size() - 1; i++) {
                    full.accept().close();
                }
                try (Socket late = full.accept()) {
                    assertEquals(-1, late.getInputStream().read(), "first byte of a repeat");
                }
                client.readResponse();
            }
        }
    }

    /** With the seed of the configuration, the failing upstream gets the first attempt in this order. */
    private static ObjectNode configJson(FakeUpstream failing, ServerSocket full) throws Exception {
        ObjectNode json = SidecarHarness.configJson();
        ((ObjectNode) json.at("/settings/profiles/1")).put("keyTtl", KEY_TTL_NANOS);
        ArrayNode targets = (ArrayNode) json.at("/known/targets");
        targets.add(SidecarHarness.listEntry("s-1", "127.0.0.1:" + full.getLocalPort(), "SERVING"));
        targets.add(SidecarHarness.listEntry("s-0", failing.endpoint(), "SERVING"));
        return json;
    }
}
