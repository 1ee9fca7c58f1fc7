package pondridge.testbed;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One sidecar as a real process, started as {@code deploy/balancer.toml} says, with the library that injects
 * faults. It can be restarted in the middle of a run; it keeps its name and address.
 */
final class SidecarProcess implements AutoCloseable {
    static final long READY_LIMIT_S = 30;
    private static final long NANOS_PER_MS = 1_000_000;
    /** Linux gives a pipe 16 pages. */
    private static final String FILL_PIPE = "head -c 65536 /dev/zero; ";
    private static final int RELOAD_AFTER_MS = 1_000;
    private static final int POLL_MS = 20;
    private static final int READ_LIMIT_MS = 2_000;
    private static final Pattern VIOLATIONS = Pattern.compile("violations (\\d+)");
    private static final Pattern CONNECTIONS = Pattern.compile("(\\d+) connections to upstreams");
    private static final Pattern OPEN_REQUESTS = Pattern.compile("state: (\\d+) requests open");

    /** Where the process writes its log. */
    enum Log {
        /** A file, which can be looked at after the run. */
        FILE,
        /** A device on which every write fails for want of space. */
        FULL_DISK,
        /** A pipe that is full and that nobody reads. */
        STUCK_PIPE
    }

    /**
     * One process from start to end; times of {@link System#nanoTime}, 0 for what did not happen.
     */
    static final class Life {
        final long startedAt = System.nanoTime();
        volatile long terminatedAt;
        volatile long killedAt;
        volatile long endedAt;
        volatile int exitStatus;
        volatile long readyAt;

        /** Whether the process was told to end, or was killed, before this time. */
        boolean endingBefore(long at) {
            return terminatedAt != 0 && terminatedAt - at < 0 || killedAt != 0 && killedAt - at < 0;
        }
    }

    private final int number;
    private final Path folder;
    private final Log log;
    private final int descriptors;
    private final FaultControl faults;
    private final InetSocketAddress address;
    private final List<Life> lives = new CopyOnWriteArrayList<>();
    private volatile Process process;

    SidecarProcess(int number, Path folder, Log log, int descriptors) throws IOException {
        this.number = number;
        this.folder = folder;
        this.log = log;
        this.descriptors = descriptors;
        Files.createDirectories(folder);
        this.faults = new FaultControl(folder.resolve("faults"));
        this.address = new InetSocketAddress(InetAddress.getLoopbackAddress(), Ports.findFree());
    }

    int number() {
        return number;
    }

    InetSocketAddress address() {
        return address;
    }

    String endpoint() {
        return "127.0.0.1:" + address.getPort();
    }

    FaultControl faults() {
        return faults;
    }

    List<Life> lives() {
        return lives;
    }

    Life life() {
        return lives.get(lives.size() - 1);
    }

    long pid() {
        return process.pid();
    }

    boolean alive() {
        return process.isAlive();
    }

    void writeConfiguration(ObjectNode configuration) throws IOException {
        Path next = folder.resolve("config.next");
        Files.writeString(next, configuration.toString());
        Files.move(next, configurationFile(), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    private Path configurationFile() {
        return folder.resolve("config.json");
    }

    /** Starts the process with the configuration written last. */
    void start() throws IOException {
        String limit = "ulimit -n " + descriptors + "; ";
        String before = log == Log.STUCK_PIPE ? limit + FILL_PIPE : limit;
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", before + deployedCommand());
        builder.redirectErrorStream(true);
        Map<String, String> environment = builder.environment();
        environment.put("PROXY_CONFIG", configurationFile().toString());
        environment.put("FAULT_CONTROL", faults.file().toString());
        environment.put("FAULT_SEED", Integer.toString(number + 1));
        environment.put("LD_PRELOAD", shim().toString());
        switch (log) {
            case FILE -> builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
            case FULL_DISK -> builder.redirectOutput(new File("/dev/full"));
            default -> { }
        }
        process = builder.start();
        Life life = new Life();
        lives.add(life);
        Process started = process;
        started.onExit().thenAccept(ended -> {
            life.exitStatus = ended.exitValue();
            life.endedAt = System.nanoTime();
        });
    }

    private static String deployedCommand() throws IOException {
        String line = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(each -> each.startsWith("run = \"")).findFirst().orElseThrow();
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
    }

    private static Path shim() {
        Path library = Path.of("target", "libfaultshim.so").toAbsolutePath();
        if (!Files.exists(library)) {
            throw new IllegalStateException("not built: " + library + " (mvn -DskipTests verify)");
        }
        return library;
    }

    /** Whether the process says within the limit that it is ready. */
    boolean awaitReady() {
        long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_LIMIT_S);
        while (System.nanoTime() < giveUpAt && process.isAlive()) {
            if (saysReady()) {
                life().readyAt = System.nanoTime();
                return true;
            }
            StubUpstream.sleep(POLL_MS);
        }
        return false;
    }

    private boolean saysReady() {
        try (Socket socket = new Socket()) {
            socket.connect(address, READ_LIMIT_MS);
            socket.setSoTimeout(READ_LIMIT_MS);
            socket.getOutputStream().write(
                    "GET /up HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            HttpMessage answer = HttpMessage.read(new BufferedInputStream(socket.getInputStream()));
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal by its name, such as HUP. */
    void signal(String name) throws IOException {
        try {
            new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Tells the process to read its configuration again, unless it is too young for it (TERMS). */
    void reload() throws IOException {
        if (process.isAlive() && life().readyAt != 0 && tooYoungMs() <= 0) {
            signal("HUP");
        }
    }

    /** Waits until the process may be told to read its configuration again. */
    void awaitReloadable() {
        StubUpstream.sleep(Math.max(0, tooYoungMs()));
    }

    private long tooYoungMs() {
        return RELOAD_AFTER_MS - (System.nanoTime() - life().startedAt) / NANOS_PER_MS;
    }

    /** Tells the process to end. */
    void terminate() {
        life().terminatedAt = System.nanoTime();
        process.destroy();
    }

    /** Ends the process at once. */
    void kill() {
        if (process != null && process.isAlive()) {
            life().killedAt = System.nanoTime();
            process.destroyForcibly();
        }
    }

    boolean awaitEnd(long ms) {
        if (process == null) {
            return true;
        }
        try {
            return process.waitFor(ms, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Holds the whole process up for a time, as a machine does that is short of processor time. */
    void stall(long ms) throws IOException {
        signal("STOP");
        StubUpstream.sleep(ms);
        signal("CONT");
    }

    Path logFile() {
        return folder.resolve("log");
    }

    List<String> logLines() throws IOException {
        return Files.exists(logFile()) ? Files.readAllLines(logFile(), StandardCharsets.ISO_8859_1)
                : new ArrayList<>();
    }

    /** The broken invariants that the last line on the sidecar's state counts, -1 without such a line. */
    long selfCheckViolations() throws IOException {
        return lastNumber(VIOLATIONS);
    }

    /** The connections to upstreams that the same line counts. */
    long countedConnections() throws IOException {
        return lastNumber(CONNECTIONS);
    }

    /** The open requests that the same line counts. */
    long countedRequests() throws IOException {
        return lastNumber(OPEN_REQUESTS);
    }

    private long lastNumber(Pattern pattern) throws IOException {
        long found = -1;
        for (String line : logLines()) {
            Matcher matcher = pattern.matcher(line);
            if (line.startsWith("state:") && matcher.find()) {
                found = Long.parseLong(matcher.group(1));
            }
        }
        return found;
    }

    /** How many file descriptors the process holds; -1 if it has ended. */
    int openDescriptors() {
        String[] names = Path.of("/proc", Long.toString(process.pid()), "fd").toFile().list();
        return names == null ? -1 : names.length;
    }

    /** The most memory that the process has held, in kilobytes; -1 if it has ended. */
    long peakMemoryKb() {
        try {
            return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                    .filter(line -> line.startsWith("VmHWM:")).findFirst()
                    .map(line -> Long.parseLong(line.replaceAll("\\D", ""))).orElse(-1L);
        } catch (IOException e) {
            return -1;
        }
    }

    /** The processor time that the process has used, in milliseconds; 0 if it is not known. */
    long cpuMs() {
        return process.toHandle().info().totalCpuDuration().map(time -> time.toNanos() / NANOS_PER_MS)
                .orElse(0L);
    }

    @Override
    public void close() {
        kill();
        awaitEnd(TimeUnit.SECONDS.toMillis(READY_LIMIT_S));
    }
}
