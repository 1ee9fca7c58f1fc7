package pondridge.sidecar;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * What SIGHUP does: of a new configuration the address of discovery is taken over, the rest holds until a
 * restart. One that can't be understood changes nothing; one that can't be opened is tried again for a while,
 * since that may be this machine's trouble.
 */
final class ConfigReloader implements Runnable {
    /** Whatever discovery has to tell counts as told 4 s after the signal (TERMS). */
    private static final long LONGEST_TRY_MS = 3_000;

    private final EventLoop loop;
    private final Path file;
    private final RequestDispatcher dispatcher;

    ConfigReloader(EventLoop loop, Path file, RequestDispatcher dispatcher) {
        this.loop = loop;
        this.file = file;
        this.dispatcher = dispatcher;
    }

    /** Signals in a row are handled one after the other, so that the file read last counts. */
    @Override
    public synchronized void run() {
        try {
            InetSocketAddress discovery =
                    IoRetry.whileInputFails(LONGEST_TRY_MS, () -> Config.read(file)).discovery();
            System.err.println("pondridge: configuration read again, discovery at " + discovery);
            loop.execute(() -> dispatcher.setDiscoveryAddress(discovery));
        } catch (RuntimeException | IOException e) {
            System.err.println("pondridge: configuration not taken over, the last one holds: "
                    + e.getMessage());
        } catch (InternalError e) {
            // The loop could not be woken. The task is in its queue, and its timers wake it soon.
            System.err.println("reload: " + e);
        }
    }
}
