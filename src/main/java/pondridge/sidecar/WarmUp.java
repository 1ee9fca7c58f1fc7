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
 * Has the JVM load and compile the code that each request runs through, before the sidecar reports that it is
 * ready. To do so, it sends requests to the sidecar's own frontend, and passes made-up requests to a separate
 * balancer whose actions have no effect.
 */
final class WarmUp {
    private static final int REQUEST_COUNT = 600;
    private static final long REQUEST_TIMEOUT_NANOS = 1_000_000_000;
    /** On a busy CPU, a sidecar that is not warmed up is better than one that becomes ready too late. */
    private static final long MAX_DURATION_NANOS = 3_000_000_000L;
    /** Room for the frontend's responses to made-up requests, of which there is one at a time. */
    private static final long MAX_MEMORY_BYTES = 1 << 20;
    /** Time between two made-up requests on the clock that the separate balancer is given. */
    private static final long REQUEST_INTERVAL_NANOS = 10_000_000;

    private final UpstreamClient frontendClient;
    private final Runnable onDone;
    private final Consumer<Throwable> onFailure;
    private boolean finished;

    private WarmUp(UpstreamClient frontendClient, Runnable onDone, Consumer<Throwable> onFailure) {
        this.frontendClient = frontendClient;
        this.onDone = onDone;
        this.onFailure = onFailure;
    }

    /**
     * Starts a warm-up; must be called on the event loop, on which the callbacks run, too.
     *
     * @param frontend address of this sidecar's frontend
     * @param onDone called within {@link #MAX_DURATION_NANOS}, also if the frontend can't be reached
     * @param onFailure called instead if a step throws an exception, and also if {@code onDone} does
     */
    static void run(EventLoop loop, SettingsReader settingsReader, InetSocketAddress frontend,
            Runnable onDone, Consumer<Throwable> onFailure) {
        UpstreamClient frontendClient = new UpstreamClient(loop, settingsReader, 1,
                new MemoryBudget(MAX_MEMORY_BYTES, loop), 0);
        WarmUp warmUp = new WarmUp(frontendClient, onDone, onFailure);
        loop.schedule(warmUp::finish, MAX_DURATION_NANOS, TimeUnit.NANOSECONDS);
        warmUp.runStep(() -> {
            warmUpRules(settingsReader.settings());
            frontendClient.updateUpstream(0, frontend, 0, true);
            warmUp.sendRequests(REQUEST_COUNT);
        });
    }

    private void runStep(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            finished = true;
            onFailure.accept(e);
        }
    }

    /**
     * Sends requests one after the other. The frontend rejects them with status 400, since they have no
     * {@code Req-Id}; reading them and responding run the same code as for a valid request. Any other outcome
     * ends the warm-up.
     */
    private void sendRequests(int remaining) {
        if (remaining == 0) {
            finish();
        } else if (!finished) {
            FullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api/");
            frontendClient.send(0, timeLeft -> request, REQUEST_TIMEOUT_NANOS, (outcome, response, load) ->
                    runStep(() -> sendRequests(outcome == Outcome.ERROR ? remaining - 1 : 0)));
        }
    }

    /** Ends the warm-up unless it has ended, and calls {@link #onDone}. */
    private void finish() {
        if (!finished) {
            finished = true;
            frontendClient.close();
            runStep(onDone);
        }
    }

    /** Passes made-up requests of all classes, with successful attempts, to a separate balancer. */
    private static void warmUpRules(Settings settings) {
        Balancer rules = new Rules(settings, 0, new NoOpActions());
        long now = System.nanoTime() & Long.MAX_VALUE;
        rules.start(now);
        rules.listUpdated(now, ListUpdateType.CACHED, List.of(
                new Upstream(1, 0, 0, 0, UpstreamState.READY, 1, 0),
                new Upstream(2, 0, 0, 0, UpstreamState.READY, 1, 0)));
        for (int i = 0; i < REQUEST_COUNT; i++) {
            now += REQUEST_INTERVAL_NANOS;
            rules.requestArrived(now, new Request(i, i % settings.classes().size(), 0, 0,
                    REQUEST_TIMEOUT_NANOS, 0, 0, false, false));
            rules.attemptEnded(now + REQUEST_INTERVAL_NANOS / 2, i, 0, 1, Outcome.OK,
                    REQUEST_INTERVAL_NANOS / 2, true, new float[0]);
            rules.timerFired(now + REQUEST_INTERVAL_NANOS / 2, i);
        }
    }

    /** The actions of the separate balancer, which have no effect. */
    private static final class NoOpActions implements Balancer.Actions {
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
