package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pondridge.SettingsReader;

/**
 * A warm-up calls one of its two callbacks, whatever happens during it. If it called neither, the sidecar
 * would neither become ready nor exit.
 */
class WarmUpTest {
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<String> results = new LinkedBlockingQueue<>();

    @AfterEach
    void stopEventLoop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void run(SettingsReader settingsReader, InetSocketAddress frontend, Runnable onDone) {
        loop.execute(() ->
                WarmUp.run(loop, settingsReader, frontend, onDone, e -> results.add("failed: " + e)));
    }

    @Test
    void callsOnDoneIfTheFrontendDoesNotRespond() throws Exception {
        try (FakeUpstream closing = new FakeUpstream((socket, head) -> false)) {
            run(Config.of(SidecarHarness.configJson()).settingsReader(), closing.address(),
                    () -> results.add("done"));
            assertEquals("done", FakeUpstream.next(results));
        }
    }

    @Test
    void callsOnFailureIfAStepThrows() throws Exception {
        try (FakeUpstream frontend = new FakeUpstream((socket, head) ->
                FakeUpstream.reply(socket, "400 Bad Request", "", ""))) {
            run(new SettingsReader(""), frontend.address(), () -> results.add("done"));
            String result = FakeUpstream.next(results);
            assertTrue(result.startsWith("failed: ") && result.contains("profiles.count"), result);
            run(Config.of(SidecarHarness.configJson()).settingsReader(), frontend.address(), () -> {
                throw new IllegalStateException("not ready");
            });
            result = FakeUpstream.next(results);
            assertTrue(result.startsWith("failed: ") && result.contains("not ready"), result);
        }
    }
}
