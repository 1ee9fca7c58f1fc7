package pondridge.sidecar;

import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pondridge.Balancer.RequestClass;

/** Entry point of the real sidecar: configuration, start, and an orderly end at SIGTERM. */
public final class Main {
    /** So long a start repeats what may fail for a moment; a sidecar has 10 s to become ready. */
    private static final long START_LIMIT_MS = 3_000;
    private static final long LISTEN_RETRY_MS = 50;
    /** How long the end of the process may wait for the log. */
    private static final long LAST_LINES_MS = 50;
    private static final AsyncLogStream LOG = AsyncLogStream.install();

    private Main() { }

    /**
     * Runs until SIGTERM, with the argument {@code rehearse} only until it is warm: that checks a
     * configuration, and shows the build which classes belong in the class archive. A bad configuration ends
     * it with one line and exit status 2.
     */
    public static void main(String[] args) {
        String file = System.getenv("PROXY_CONFIG");
        Config config;
        try {
            if (file == null) {
                throw new IllegalArgumentException("not set: PROXY_CONFIG");
            }
            config = IoRetry.retryOnIoException(START_LIMIT_MS, () -> Config.read(Path.of(file)));
        } catch (RuntimeException | IOException e) {
            System.err.println("pondridge: configuration: " + e.getMessage());
            halt(2);
            return;
        }
        EventLoopMonitor times = new EventLoopMonitor();
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, times.monitor(NioIoHandler.newFactory())).next();
        boolean rehearsal = args.length == 1 && args[0].equals("rehearse");
        loop.execute(() -> {
            try {
                start(loop, times, config, Path.of(file), rehearsal);
            } catch (RuntimeException | Error e) {
                fail("start: " + e);
            }
        });
    }

    /** The end of a start that can't succeed: one line, and no process that is neither ready nor gone. */
    private static void fail(String why) {
        System.err.println("pondridge: " + why);
        halt(1);
    }

    private static void halt(int status) {
        LOG.awaitWritten(LAST_LINES_MS);
        Runtime.getRuntime().halt(status);
    }

    private static void start(EventLoop loop, EventLoopMonitor times, Config config, Path file,
            boolean rehearsal) {
        RequestDispatcher dispatcher = new RequestDispatcher(loop, config, config.maxSockets() / 2);
        Frontend frontend = new Frontend(dispatcher, times, config.settingsReader(),
                config.maxSockets() * 3 / 8);
        dispatcher.start(config.cachedList());
        SighupHandler.handle(new ConfigReloader(loop, file, dispatcher));
        long giveUpAt = System.nanoTime() + START_LIMIT_MS * 1_000_000;
        listen(loop, config, frontend, giveUpAt, address -> {
            endAtSigterm(loop, config, dispatcher, frontend);
            WarmUp.run(loop, config.settingsReader(), address,
                    rehearsal ? Main::end : () -> ready(config, frontend), e -> fail("warm-up: " + e));
        });
    }

    /** Listens, and tries again for a while where the address or a socket can't be had. */
    private static void listen(EventLoop loop, Config config, Frontend frontend, long giveUpAt,
            Consumer<InetSocketAddress> listening) {
        Consumer<Throwable> failed = cause -> {
            if (System.nanoTime() >= giveUpAt) {
                fail("listen: " + cause.getMessage());
            } else {
                loop.schedule(() -> listen(loop, config, frontend, giveUpAt, listening), LISTEN_RETRY_MS,
                        TimeUnit.MILLISECONDS);
            }
        };
        try {
            ChannelFuture bound = frontend.listen(loop, config.listen());
            bound.addListener(done -> {
                if (done.isSuccess()) {
                    listening.accept((InetSocketAddress) bound.channel().localAddress());
                } else {
                    failed.accept(done.cause());
                }
            });
        } catch (ChannelException e) {
            failed.accept(e);
        }
    }

    private static void ready(Config config, Frontend frontend) {
        frontend.ready();
        System.err.println("pondridge: " + config.name() + " ready at " + config.listen());
    }

    /** A rehearsal is over. Not on the loop, which the shutdown hook still needs. */
    private static void end() {
        new Thread(() -> System.exit(0)).start();
    }

    /** The hook holds the process until all is answered, or SIGKILL is near. */
    private static void endAtSigterm(EventLoop loop, Config config, RequestDispatcher dispatcher,
            Frontend frontend) {
        long longest = config.settingsReader().settings().classes().stream()
                .mapToLong(RequestClass::deadline).max().orElse(0) / 1_000_000;
        GracefulShutdown shutdown = new GracefulShutdown(loop, dispatcher, frontend, longest);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                shutdown.run();
            } finally {
                halt(0);
            }
        }));
    }
}
