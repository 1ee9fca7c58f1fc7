package pondridge.sidecar;

import java.io.IOException;
import java.net.ConnectException;
import java.net.HttpURLConnection;
import java.net.URI;

/** Starts the sidecar, and then ends the thread of its event loop by an error, as a lack of memory may. */
final class EndingLoopMain {
    private static final long INTERVAL_MS = 20;

    private EndingLoopMain() { }

    /**
     * Runs until the process ends. An error that hits a task only fails the task, so it is repeated.
     *
     * @param args the address at which the sidecar responds to {@code /up}
     */
    @SuppressWarnings("deprecation")
    public static void main(String[] args) throws IOException, InterruptedException {
        Main.main(new String[0]);
        while (!isUp(URI.create("http://" + args[0] + "/up"))) {
            Thread.sleep(INTERVAL_MS);
        }
        Thread loop = Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread.getName().startsWith("eventLoops"))
                .findFirst().orElseThrow();
        while (loop.isAlive()) {
            loop.stop();
            Thread.sleep(INTERVAL_MS);
        }
    }

    private static boolean isUp(URI uri) throws IOException {
        try {
            return ((HttpURLConnection) uri.toURL().openConnection()).getResponseCode() == 200;
        } catch (ConnectException e) {
            return false;
        }
    }
}
