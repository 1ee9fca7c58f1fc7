package pondridge.sidecar;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pondridge.Balancer;
import pondridge.Balancer.FailureReason;
import pondridge.Balancer.ListUpdateType;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.Request;
import pondridge.Balancer.Settings;
import pondridge.Balancer.Upstream;
import pondridge.Balancer.UpstreamState;
import pondridge.Rules;
import pondridge.SettingsReader;

/**
 * Loads and compiles what every request runs through, before the first client comes: the sidecar asks its own
 * frontend, and an instance of the module that nobody hears decides for requests that do not exist.
 */
final class WarmUp {
    private static final int ROUNDS = 600;
    private static final long PATIENCE = 1_000_000_000;
    /** On a crowded core a cold sidecar is better than a late one. */
    private static final long LONGEST = 3_000_000_000L;
    private static final long STEP = 10_000_000;

    private final UpstreamClient self;
    private final Runnable done;
    private final Consumer<Throwable> failed;
    private boolean over;

    private WarmUp(UpstreamClient self, Runnable done, Consumer<Throwable> failed) {
        this.self = self;
        this.done = done;
        this.failed = failed;
    }

    /**
     * Runs on the loop. {@code done} follows within {@link #LONGEST}, also if the frontend can't be reached;
     * {@code failed} instead of it if something here can't be done at all.
     */
    static void run(EventLoop loop, SettingsReader settingsReader, InetSocketAddress frontend, Runnable done,
            Consumer<Throwable> failed) {
        UpstreamClient self = new UpstreamClient(loop, settingsReader, 1, 0);
        WarmUp warmUp = new WarmUp(self, done, failed);
        loop.schedule(warmUp::end, LONGEST, TimeUnit.NANOSECONDS);
        warmUp.attempt(() -> {
            decide(settingsReader.settings());
            self.updateUpstream(0, frontend, 0, true);
            warmUp.ask(ROUNDS);
        });
    }

    private void attempt(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            over = true;
            failed.accept(e);
        }
    }

    /** The frontend knows no such request and answers 400: the way there and back is the same. */
    private void ask(int left) {
        if (left == 0) {
            end();
        } else if (!over) {
            FullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api/");
            self.send(0, timeLeft -> request, PATIENCE, (outcome, answer, load) ->
                    attempt(() -> ask(outcome == Outcome.ERROR ? left - 1 : 0)));
        }
    }

    private void end() {
        if (!over) {
            over = true;
            self.close();
            attempt(done);
        }
    }

    private static void decide(Settings settings) {
        Balancer rules = new Rules(settings, 0, new Unheard());
        long now = System.nanoTime() & Long.MAX_VALUE;
        rules.start(now);
        rules.listUpdated(now, ListUpdateType.CACHED, List.of(
                new Upstream(1, 0, 0, 0, UpstreamState.READY, 1, 0),
                new Upstream(2, 0, 0, 0, UpstreamState.READY, 1, 0)));
        for (int i = 0; i < ROUNDS; i++) {
            now += STEP;
            rules.requestArrived(now,
                    new Request(i, i % settings.classes().size(), 0, 0, PATIENCE, 0, 0, false, false));
            rules.attemptEnded(now + STEP / 2, i, 0, 1, Outcome.OK, STEP / 2, true, new float[0]);
            rules.timerFired(now + STEP / 2, i);
        }
    }

    private static final class Unheard implements Balancer.Actions {
        @Override
        public void send(long request, long upstream, long timeout) { }

        @Override
        public void refuse(long request, long retryAfter, FailureReason reason) { }

        @Override
        public void fail(long request, FailureReason reason) { }

        @Override
        public void cancel(long request, int attempt) { }

        @Override
        public void setTimer(long token, long at) { }

        @Override
        public void probe(long upstream) { }

        @Override
        public void closeIdleConnections(long upstream) { }

        @Override
        public void sendToPeer(int peer, byte[] message) { }

        @Override
        public void log(String line) { }

        @Override
        public void subscribe(boolean on) { }

        @Override
        public void fetchList() { }
    }
}
