package pondridge.sidecar;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Decides when a sidecar that starts reports that it is ready: once it is warmed up and has heard from
 * discovery. If discovery does not respond, the sidecar becomes ready after a limited time all the same.
 *
 * <p>Used on the event loop only.
 */
final class Readiness {
    /** With the time that the JVM needs before it, less than the 6 s in which a sidecar has to be ready. */
    static final long MAX_LIST_WAIT_MS = 4_000;

    /** Is notified when the sidecar is ready. */
    interface Listener {
        /** Called once; {@code listReceived} is false if discovery has not responded yet. */
        void ready(boolean listReceived);
    }

    private final Listener listener;
    private boolean warmedUp;
    private boolean listReceived;
    private boolean waitOver;
    private boolean ready;

    /** Begins the limited wait for discovery. */
    Readiness(EventLoop loop, Listener listener) {
        this.listener = listener;
        loop.schedule(this::listWaitOver, MAX_LIST_WAIT_MS, TimeUnit.MILLISECONDS);
    }

    /** The warm-up has finished. */
    void warmedUp() {
        warmedUp = true;
        reportIfReady();
    }

    /** Discovery has responded for the first time. */
    void listReceived() {
        listReceived = true;
        reportIfReady();
    }

    private void listWaitOver() {
        waitOver = true;
        reportIfReady();
    }

    private void reportIfReady() {
        if (!ready && warmedUp && (listReceived || waitOver)) {
            ready = true;
            listener.ready(listReceived);
        }
    }
}
