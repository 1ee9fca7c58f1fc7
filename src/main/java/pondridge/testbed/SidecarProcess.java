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
 * Runs one sidecar as a real process, with the command in {@code deploy/balancer.toml} and the preloaded
 * library that injects faults. It can be restarted during a run and keeps its name and address.
 */
final class SidecarProcess implements AutoCloseable {
    static final long READY_TIMEOUT_S = 30;
    private static final long NANOS_PER_MS = 1_000_000;
    /** Fills the log's pipe, whose capacity on Linux is 16 pages. */
    private static final String FILL_PIPE = "head -c 65536 /dev/zero; ";
    /** The platform sends no SIGHUP to a process that is younger. */
    private static final int MIN_RELOAD_AGE_MS = 1_000;
    private static final int POLL_INTERVAL_MS = 20;
    private static final int READ_TIMEOUT_MS = 2_000;
    private static final Pattern VIOLATION_COUNT = Pattern.compile("violations (\\d+)");
    private static final Pattern CONNECTION_COUNT = Pattern.compile("(\\d+) connections to upstreams");
    private static final Pattern OPEN_REQUEST_COUNT = Pattern.compile("state: (\\d+) requests open");

    /** Where the process writes its log. */
    enum LogDestination {
        /** A file, which is kept after the run. */
        FILE,
        /** The device {@code /dev/full}, on which every write fails with ENOSPC. */
        FULL_DISK,
        /** A full pipe that nobody reads, so that every write blocks. */
        FULL_PIPE
    }

    /**
     * One process from its start to its exit, in times of {@link System#nanoTime}; 0 if an event has not
     * happened. A sidecar has one lifetime for each time that it was started.
     */
    static final class ProcessLifetime {
        final long startedAt = System.nanoTime();
        volatile long terminatedAt;
        volatile long killedAt;
        volatile long endedAt;
        volatile int exitStatus;
        volatile long readyAt;

        /** Whether SIGTERM or SIGKILL was sent to the process before this time. */
        boolean endRequestedBefore(long at) {
            return terminatedAt != 0 && terminatedAt - at < 0 || killedAt != 0 && killedAt - at < 0;
        }
    }

    private final int number;
    private final Path folder;
    private final LogDestination log;
    private final int descriptors;
    private final FaultControl faults;
    private final SidecarTrace trace;
    private final InetSocketAddress address;
    private final List<ProcessLifetime> lifetimes = new CopyOnWriteArrayList<>();
    private String command;
    private volatile Process process;

    SidecarProcess(int number, Path folder, LogDestination log, int descriptors) throws IOException {
        this.number = number;
        this.folder = folder;
        this.log = log;
        this.descriptors = descriptors;
        Files.createDirectories(folder);
        this.faults = new FaultControl(folder.resolve("faults"));
        this.trace = new SidecarTrace(folder.resolve("trace"));
        this.command = deployedCommand();
        this.address = new InetSocketAddress(InetAddress.getLoopbackAddress(), Ports.findFree());
    }

    int number() {
        return number;
    }

    /** Starts another program from now on, in place of the deployed sidecar. */
    void useCommand(String other) {
        command = other;
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

    /** What all processes of this sidecar have sent and read so far. */
    SidecarTrace trace() {
        return trace;
    }

    List<ProcessLifetime> lifetimes() {
        return lifetimes;
    }

    ProcessLifetime currentLifetime() {
        return lifetimes.get(lifetimes.size() - 1);
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    void writeConfiguration(ObjectNode configuration) throws IOException {
        Path temporary = folder.resolve("config.next");
        Files.writeString(temporary, configuration.toString());
        Files.move(temporary, configurationFile(), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    private Path configurationFile() {
        return folder.resolve("config.json");
    }

    /** Starts the process with the configuration that was written last. */
    void start() throws IOException {
        String descriptorLimit = "ulimit -n " + descriptors + "; ";
        String setup = log == LogDestination.FULL_PIPE ? descriptorLimit + FILL_PIPE : descriptorLimit;
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", setup + command);
        builder.redirectErrorStream(true);
        Map<String, String> environment = builder.environment();
        environment.put("PROXY_CONFIG", configurationFile().toString());
        environment.put("FAULT_CONTROL", faults.file().toString());
        environment.put("FAULT_TRACE", trace.file().toString());
        environment.put("FAULT_SEED", Integer.toString(number + 1));
        environment.put("LD_PRELOAD", faultLibrary().toString());
        switch (log) {
            case FILE -> builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
            case FULL_DISK -> builder.redirectOutput(new File("/dev/full"));
            default -> { }
        }
        process = builder.start();
        ProcessLifetime lifetime = new ProcessLifetime();
        lifetimes.add(lifetime);
        Process started = process;
        started.onExit().thenAccept(ended -> {
            lifetime.exitStatus = ended.exitValue();
            lifetime.endedAt = System.nanoTime();
        });
    }

    private static String deployedCommand() throws IOException {
        String line = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(each -> each.startsWith("run = \"")).findFirst().orElseThrow();
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
    }

    private static Path faultLibrary() {
        Path library = Path.of("target", "libfaultshim.so").toAbsolutePath();
        if (!Files.exists(library)) {
            throw new IllegalStateException("not built: " + library + " (mvn -DskipTests verify)");
        }
        return library;
    }

    /** Polls the process until it is ready; returns false if it exits or the timeout passes first. */
    boolean awaitReady() {
        long timeoutAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_S);
        while (System.nanoTime() < timeoutAt && process.isAlive()) {
            if (isReady()) {
                currentLifetime().readyAt = System.nanoTime();
                return true;
            }
            StubUpstream.sleep(POLL_INTERVAL_MS);
        }
        return false;
    }

    private boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(address, READ_TIMEOUT_MS);
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.getOutputStream().write(
                    "GET /up HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            HttpMessage response = HttpMessage.read(new BufferedInputStream(socket.getInputStream()));
            return response != null && response.status() == 200;
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

    /** Sends SIGHUP, on which the process reloads its configuration, unless it is not ready or too young. */
    void reload() throws IOException {
        if (process.isAlive() && currentLifetime().readyAt != 0 && msUntilReloadable() <= 0) {
            signal("HUP");
        }
    }

    /** Waits until the process is old enough for SIGHUP. */
    void awaitReloadable() {
        StubUpstream.sleep(Math.max(0, msUntilReloadable()));
    }

    private long msUntilReloadable() {
        return MIN_RELOAD_AGE_MS - (System.nanoTime() - currentLifetime().startedAt) / NANOS_PER_MS;
    }

    /** Sends SIGTERM. */
    void terminate() {
        currentLifetime().terminatedAt = System.nanoTime();
        process.destroy();
    }

    /** Sends SIGKILL. */
    void kill() {
        if (process != null && process.isAlive()) {
            currentLifetime().killedAt = System.nanoTime();
            process.destroyForcibly();
        }
    }

    /** Waits for the process to exit; returns whether it did within the given time in milliseconds. */
    boolean awaitExit(long ms) {
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

    /** Stops the whole process for a time, as happens on a machine that is short of processor time. */
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

    /** Returns the violations that the log's last {@code state:} line reports, or -1 without such a line. */
    long reportedViolations() throws IOException {
        return lastReportedValue(VIOLATION_COUNT);
    }

    /** Returns the connections to upstreams that the same line reports. */
    long reportedConnections() throws IOException {
        return lastReportedValue(CONNECTION_COUNT);
    }

    /** Returns the open requests that the same line reports. */
    long reportedRequests() throws IOException {
        return lastReportedValue(OPEN_REQUEST_COUNT);
    }

    private long lastReportedValue(Pattern pattern) throws IOException {
        long found = -1;
        for (String line : logLines()) {
            Matcher matcher = pattern.matcher(line);
            if (line.startsWith("state:") && matcher.find()) {
                found = Long.parseLong(matcher.group(1));
            }
        }
        return found;
    }

    /** Returns how many file descriptors the process has open, or -1 if it has exited. */
    int openDescriptors() {
        String[] names = Path.of("/proc", Long.toString(process.pid()), "fd").toFile().list();
        return names == null ? -1 : names.length;
    }

    /** Returns the process's peak resident memory in kilobytes, or -1 if it has exited. */
    long peakMemoryKb() {
        try {
            return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                    .filter(line -> line.startsWith("VmHWM:")).findFirst()
                    .map(line -> Long.parseLong(line.replaceAll("\\D", ""))).orElse(-1L);
        } catch (IOException e) {
            return -1;
        }
    }

    /** Returns the processor time that the process has used in milliseconds, or 0 if it is unknown. */
    long cpuMs() {
        return process.toHandle().info().totalCpuDuration().map(time -> time.toNanos() / NANOS_PER_MS)
                .orElse(0L);
    }

    @Override
    public void close() {
        kill();
        awaitExit(TimeUnit.SECONDS.toMillis(READY_TIMEOUT_S));
    }
}
