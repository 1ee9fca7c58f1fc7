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

/** A warm-up has one end, whatever happens in it. */
class WarmUpTest {
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<String> ends = new LinkedBlockingQueue<>();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void run(SettingsReader settingsReader, InetSocketAddress frontend, Runnable done) {
        loop.execute(() -> WarmUp.run(loop, settingsReader, frontend, done, e -> ends.add("failed: " + e)));
    }

    @Test
    void doneFollowsAlsoIfTheFrontendIsNotThere() throws Exception {
        try (FakeUpstream gone = new FakeUpstream((socket, head) -> false)) {
            run(Config.of(SidecarHarness.json()).settingsReader(), gone.address(), () -> ends.add("done"));
            assertEquals("done", FakeUpstream.next(ends));
        }
    }

    @Test
    void whatCannotBeDoneIsToldInsteadOfDone() throws Exception {
        try (FakeUpstream frontend = new FakeUpstream((socket, head) ->
                FakeUpstream.reply(socket, "400 Bad Request", "", ""))) {
            run(new SettingsReader(""), frontend.address(), () -> ends.add("done"));
            String end = FakeUpstream.next(ends);
            assertTrue(end.startsWith("failed: ") && end.contains("profiles.count"), end);
            run(Config.of(SidecarHarness.json()).settingsReader(), frontend.address(), () -> {
                throw new IllegalStateException("not ready");
            });
            end = FakeUpstream.next(ends);
            assertTrue(end.startsWith("failed: ") && end.contains("not ready"), end);
        }
    }
}
