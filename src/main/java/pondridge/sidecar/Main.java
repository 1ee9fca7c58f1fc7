package pondridge.sidecar;

import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pondridge.Balancer.RequestClass;

/**
 * Entry point of the sidecar. Reads the configuration, starts the sidecar on one event loop, warms it up,
 * and shuts it down gracefully at SIGTERM.
 */
public final class Main {
    /** Time limit for retrying temporary failures at start; a sidecar has 10 s to become ready. */
    private static final long MAX_START_RETRY_MS = 3_000;
    private static final long LISTEN_RETRY_DELAY_MS = 50;
    /** How long the process waits at its end for the last log lines to be written. */
    private static final long LOG_FLUSH_TIMEOUT_MS = 50;
    private static final AsyncLogStream LOG = AsyncLogStream.install();
    private static final ProcessExit EXIT = new ProcessExit(Main::halt);

    private Main() { }

    /**
     * Runs the sidecar until SIGTERM. With the argument {@code rehearse} it exits after the warm-up, which
     * checks a configuration and lets the build find out which classes belong in the class data archive. An
     * invalid configuration ends the process with one log line and exit status 2, a failed start or the end
     * of the event loop with status 1.
     */
    public static void main(String[] args) {
        String configFile = System.getenv("PROXY_CONFIG");
        Config config;
        try {
            if (configFile == null) {
                throw new IllegalArgumentException("not set: PROXY_CONFIG");
            }
            config = IoRetry.retryOnIoException(MAX_START_RETRY_MS, () -> Config.read(Path.of(configFile)));
        } catch (RuntimeException | IOException e) {
            EXIT.rejectConfiguration(e.getMessage());
            return;
        }
        EventLoopMonitor monitor = new EventLoopMonitor();
        EventLoop loop = EventLoops.create(monitor);
        EXIT.watch(loop);
        boolean rehearsal = args.length == 1 && args[0].equals("rehearse");
        loop.execute(() -> {
            try {
                start(loop, monitor, config, Path.of(configFile), rehearsal);
            } catch (RuntimeException | Error e) {
                EXIT.fail("start: " + e);
            }
        });
    }

    /** Ends the process without its shutdown hooks, after the last log lines are written. */
    private static void halt(int status) {
        LOG.awaitWritten(LOG_FLUSH_TIMEOUT_MS);
        Runtime.getRuntime().halt(status);
    }

    /** Starts all parts of the sidecar; runs on the event loop. */
    private static void start(EventLoop loop, EventLoopMonitor monitor, Config config, Path configFile,
            boolean rehearsal) {
        // Half of the sockets are for upstreams, which also limits the pending requests; three eighths are
        // for clients.
        RequestDispatcher dispatcher = new RequestDispatcher(loop, config, config.maxSockets() / 2);
        Frontend frontend = new Frontend(dispatcher, monitor, config.settingsReader(),
                config.maxSockets() * 3 / 8);
        Readiness readiness = new Readiness(loop, listReceived -> ready(config, frontend, listReceived));
        dispatcher.start(readiness::listReceived);
        SighupHandler.handle(new ConfigReloader(loop, configFile, dispatcher));
        long retryUntil = System.nanoTime() + MAX_START_RETRY_MS * 1_000_000;
        listen(loop, config, frontend, retryUntil, address -> {
            addShutdownHook(loop, config, dispatcher, frontend);
            WarmUp.run(loop, config.settingsReader(), address,
                    rehearsal ? Main::exitAfterRehearsal : readiness::warmedUp,
                    e -> EXIT.fail("warm-up: " + e));
        });
    }

    /**
     * Listens for clients. While the address is in use or no socket can be opened, it tries again until
     * {@code retryUntil}, and then ends the process.
     */
    private static void listen(EventLoop loop, Config config, Frontend frontend, long retryUntil,
            Consumer<InetSocketAddress> onListening) {
        Consumer<Throwable> onFailure = cause -> {
            if (System.nanoTime() >= retryUntil) {
                EXIT.fail("listen: " + cause.getMessage());
            } else {
                loop.schedule(() -> listen(loop, config, frontend, retryUntil, onListening),
                        LISTEN_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
            }
        };
        try {
            ChannelFuture bound = frontend.listen(loop, config.listen());
            bound.addListener(result -> {
                if (result.isSuccess()) {
                    onListening.accept((InetSocketAddress) bound.channel().localAddress());
                } else {
                    onFailure.accept(result.cause());
                }
            });
        } catch (ChannelException e) {
            onFailure.accept(e);
        }
    }

    /** Reports that the sidecar is ready, to clients and in the log. */
    private static void ready(Config config, Frontend frontend, boolean listReceived) {
        frontend.markReady();
        System.err.println("pondridge: " + config.name() + " ready at " + config.listen() + (listReceived
                ? "" : "; discovery has not responded, and requests are refused until it does"));
    }

    /** Exits on a thread of its own, since the shutdown hook needs the event loop. */
    private static void exitAfterRehearsal() {
        new Thread(() -> System.exit(0)).start();
    }

    /** Adds a hook that keeps the process alive until the graceful shutdown ends, which is before SIGKILL. */
    private static void addShutdownHook(EventLoop loop, Config config, RequestDispatcher dispatcher,
            Frontend frontend) {
        long maxDeadlineMs = config.settingsReader().settings().classes().stream()
                .mapToLong(RequestClass::deadline).max().orElse(0) / 1_000_000;
        GracefulShutdown shutdown = new GracefulShutdown(loop, dispatcher, frontend, maxDeadlineMs);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> EXIT.shutDown(loop, shutdown::run)));
    }
}
