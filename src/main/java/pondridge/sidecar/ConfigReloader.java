package pondridge.sidecar;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * Reads the configuration file again at SIGHUP. Only the address of discovery is taken over; all other
 * settings keep their values until a restart. An invalid configuration changes nothing. A file that can't be
 * read is tried again for a limited time, since the cause may be a temporary error of this machine.
 */
final class ConfigReloader implements Runnable {
    /** The platform expects a sidecar to have the list of the new address 4 s after the signal. */
    private static final long MAX_RETRY_MS = 3_000;

    private final EventLoop loop;
    private final Path configFile;
    private final RequestDispatcher dispatcher;

    ConfigReloader(EventLoop loop, Path configFile, RequestDispatcher dispatcher) {
        this.loop = loop;
        this.configFile = configFile;
        this.dispatcher = dispatcher;
    }

    /**
     * Runs on a thread of the JVM, where it may block, and passes the new address on to the event loop. Calls
     * are serialised, so that the file that was read last takes effect.
     */
    @Override
    public synchronized void run() {
        try {
            InetSocketAddress discovery =
                    IoRetry.retryOnIoException(MAX_RETRY_MS, () -> Config.read(configFile)).discovery();
            System.err.println("pondridge: configuration read again, discovery at " + discovery);
            loop.execute(() -> dispatcher.setDiscoveryAddress(discovery));
        } catch (RuntimeException | IOException e) {
            System.err.println("pondridge: configuration not taken over, the last one holds: "
                    + e.getMessage());
        } catch (InternalError e) {
            // The loop could not be woken up. The task is queued and runs when a timer of the loop is due.
            System.err.println("reload: " + e);
        }
    }
}
