package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the cases share: the record, the temporary folder, and the sidecars, which are started with the deploy
 * file's command. {@link #main} runs one case and ends the JVM with the case's exit status.
 */
public final class Kit {
    /** A case; returns whether the rule held. */
    public interface Case {
        boolean run(Kit kit) throws Exception;
    }

    /** Thrown when a case can't run, which says nothing about the rule. */
    @SuppressWarnings("serial")
    public static final class CannotRun extends RuntimeException {
        public CannotRun(String message) {
            super(message);
        }
    }

    private static final int BROKEN = 1;
    private static final int CANNOT_RUN = 2;
    private static final long MAX_RUN_MS = 110_000;
    private static final long READY_TIMEOUT_MS = 30_000;
    private static final String HOST = "127.0.0.1";

    private final long startedAt = System.nanoTime();
    private final PrintWriter record;
    private final Path folder;
    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    /** Also guards {@link #ending}, so that no sidecar is started once they are ended. */
    private final List<Sidecar> sidecars = new ArrayList<>();
    private boolean ending;

    private Kit(Path caseFolder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
        folder = Files.createTempDirectory("review");
    }

    /** Arguments: the class of the case, and its folder. The working directory is the project's root. */
    public static void main(String[] args) {
        Kit kit;
        try {
            kit = new Kit(Path.of(args[1]));
        } catch (IOException e) {
            System.out.println("could not run: " + e);
            Runtime.getRuntime().halt(CANNOT_RUN);
            return;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(kit::endSidecars));
        Thread watchdog = new Thread(() -> {
            sleep(MAX_RUN_MS);
            kit.finish(CANNOT_RUN, "could not run: not finished within " + MAX_RUN_MS + " ms");
        });
        watchdog.setDaemon(true);
        watchdog.start();
        kit.record("trouble " + (kit.trouble ? "on" : "off"));
        try {
            Case each = (Case) Class.forName(args[0]).getDeclaredConstructor().newInstance();
            boolean held = each.run(kit);
            kit.finish(held ? 0 : BROKEN, held ? "the rule held" : "the rule was broken");
        } catch (Exception | Error e) {
            kit.record("exception: " + e);
            kit.finish(CANNOT_RUN, "could not run: " + e.getMessage());
        }
    }

    private synchronized void finish(int status, String text) {
        record("result: " + text);
        System.out.println(text);
        endSidecars();
        synchronized (record) {
            record.close();
        }
        Runtime.getRuntime().halt(status);
    }

    private void endSidecars() {
        List<Sidecar> started;
        synchronized (sidecars) {
            ending = true;
            started = List.copyOf(sidecars);
        }
        for (Sidecar sidecar : started) {
            sidecar.process.destroyForcibly();
        }
        for (Sidecar sidecar : started) {
            try {
                sidecar.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            sidecar.guard.destroyForcibly();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException | RuntimeException e) {
            // The folder has been deleted already.
        }
    }

    /** Whether the case's disruption takes place. */
    public boolean trouble() {
        return trouble;
    }

    /** Milliseconds since the start of the case. */
    public long ms() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    /** Writes a line to record.txt. */
    public void record(String line) {
        synchronized (record) {
            record.printf("%7d ms  %s%n", ms(), line);
            record.flush();
        }
    }

    public static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    public static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    /**
     * Starts a sidecar with the command {@code run} of the deploy file, and waits until {@code GET /up}
     * answers 200.
     *
     * @param settings the JSON object of the settings
     * @param known the list of upstreams, as the sidecar last had it
     */
    public Sidecar startSidecar(String name, int discoveryPort, String settings, String known)
            throws Exception {
        Sidecar sidecar = new Sidecar(name, freePort());
        Path config = folder.resolve(name + ".json");
        Files.writeString(config, "{\"name\":\"" + name + "\",\"listen\":\"" + HOST + ":" + sidecar.port
                + "\",\"discovery\":\"" + HOST + ":" + discoveryPort + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + known
                + ",\"settings\":" + settings + "}\n");
        Matcher run = Pattern.compile("(?m)^run *= *\"(.*)\"$")
                .matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!run.find()) {
            throw new CannotRun("no run command in the deploy file");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
        Path temporary = Files.createDirectory(folder.resolve(name + ".tmp"));
        builder.environment().putAll(Map.of("PROXY_CONFIG", config.toString(), "PROXY_NAME", name,
                "PROXY_LISTEN", HOST + ":" + sidecar.port, "PROXY_DISCOVERY", HOST + ":" + discoveryPort,
                "TMPDIR", temporary.toString()));
        sidecar.log = folder.resolve(name + ".log");
        builder.redirectErrorStream(true).redirectOutput(sidecar.log.toFile());
        synchronized (sidecars) {
            if (ending) {
                throw new CannotRun("ended");
            }
            sidecar.process = builder.start();
            sidecar.guard = startGuard(sidecar.process.pid());
            sidecars.add(sidecar);
        }
        sidecar.awaitReady();
        record("sidecar " + name + " ready, process " + sidecar.process.pid());
        return sidecar;
    }

    /**
     * Starts a process that ends a sidecar and deletes the temporary folder if this JVM is killed: it waits for the
     * end of its standard input, which this JVM holds open.
     */
    private Process startGuard(long sidecar) throws IOException {
        return new ProcessBuilder("/bin/sh", "-c", "read line; kill -9 \"$1\" 2>/dev/null; rm -rf \"$2\"", "sh",
                Long.toString(sidecar), folder.toString()).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
    }

    /** A sidecar process. */
    public final class Sidecar {
        public final String name;
        public final int port;
        public Process process;
        private Process guard;
        private Path log;

        private Sidecar(String name, int port) {
            this.name = name;
            this.port = port;
        }

        private void awaitReady() {
            long until = System.nanoTime() + READY_TIMEOUT_MS * 1_000_000;
            while (System.nanoTime() < until) {
                if (!process.isAlive()) {
                    recordLog();
                    throw new CannotRun("sidecar ended before it was ready");
                }
                if (isUp(1_000)) {
                    return;
                }
                sleep(50);
            }
            throw new CannotRun("sidecar not ready within " + READY_TIMEOUT_MS + " ms");
        }

        /** Whether {@code GET /up} on a new connection answers 200 within a time. */
        public boolean isUp(int timeoutMs) {
            try (Socket socket = Client.connect(port)) {
                socket.setSoTimeout(timeoutMs);
                socket.getOutputStream().write("GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n"
                        .getBytes(StandardCharsets.ISO_8859_1));
                byte[] begin = socket.getInputStream().readNBytes(12);
                return new String(begin, StandardCharsets.ISO_8859_1).equals("HTTP/1.1 200");
            } catch (IOException e) {
                return false;
            }
        }

        /** Copies the lines of the sidecar's log to the record, those that are alike only once. */
        public void recordLog() {
            try {
                Map<String, Integer> counts = new TreeMap<>();
                int lines = 0;
                for (String line : Files.readAllLines(log)) {
                    String shape = line.replaceAll("[0-9a-f]*[0-9][0-9a-f]*", "#");
                    int count = counts.merge(shape, 1, Integer::sum);
                    if (count <= 3 && lines++ < 60) {
                        record("log of " + name + ": " + line);
                    }
                }
            } catch (IOException e) {
                record("log of " + name + " not read: " + e);
            }
        }
    }
}
