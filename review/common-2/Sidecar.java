package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A sidecar process, started with the run command of the deploy file and a configuration of its own. */
final class Sidecar implements AutoCloseable {
    private static final List<Sidecar> STARTED = new java.util.concurrent.CopyOnWriteArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> STARTED.forEach(Sidecar::close)));
    }

    final int port;
    final Path log;
    private final Path folder;
    private final Process process;
    private final int memoryMb;

    /** The settings of tvm-billing, as the wire page prints them. */
    static String settings() {
        return "{\"caps\":{\"connIdle\":10000000000,\"connectTimeout\":150000000,\"cpuUsPerRequest\":0.0,"
                + "\"cpuUsPerS\":80000,\"maxOpen\":20000,\"maxRetryAfter\":2000000000,\"mayCancel\":true,"
                + "\"mayProbe\":false,\"parallelTries\":true,\"peers\":true,\"retryAfter\":true,"
                + "\"streamsPerConn\":1,\"tryLimit\":5},"
                + "\"charges\":{\"handshake\":0.02,\"lateFail\":0.077,\"peer\":0.04,\"probe\":0.0,"
                + "\"waste\":0.04},\"clients\":{\"marksRetry\":false},\"discovery\":\"automatic\","
                + "\"goal\":{\"whole\":0.65,\"worstClass\":0.2,\"worstTenant\":0.1,\"worstWindow\":0.05},"
                + "\"kinds\":[\"std-3c\",\"eco-3c\"],\"overShareWorth\":0.2,\"parties\":["
                + "{\"name\":\"kuttanad-north\",\"portion\":0.62,\"quotaRps\":201.0},"
                + "{\"name\":\"vembanad-east\",\"portion\":0.21,\"quotaRps\":68.0},"
                + "{\"name\":\"pallipuram\",\"portion\":0.17,\"quotaRps\":55.0}],\"profiles\":["
                + "{\"deadline\":1200000000,\"keyScope\":\"cell\",\"keyTtl\":6000000000,\"lateShare\":0.2,"
                + "\"name\":\"reading-post\",\"semantics\":\"by_key\",\"slo\":300000000,\"stream\":false,"
                + "\"worth\":10.0},{\"deadline\":2500000000,\"keyScope\":\"all\",\"keyTtl\":5000000000,"
                + "\"lateShare\":0.25,\"name\":\"credit-settle\",\"semantics\":\"once\",\"slo\":600000000,"
                + "\"stream\":false,\"worth\":2.0}],\"quantum\":5000000,\"rank\":0,\"replicasOfMe\":1,"
                + "\"report\":{\"fields\":[],\"how\":\"silent\"},\"rules\":{\"answerSlack\":20000000,"
                + "\"askWithin\":10000000000,\"coldShare\":0.13,\"overloadFactor\":3.0,"
                + "\"rampTime\":22000000000,\"stopSendingWithin\":250000000,\"tipAfter\":2000000000},"
                + "\"serviceType\":\"mesh\",\"stages\":[\"credit-api\"],\"tier\":0,"
                + "\"valueBy\":\"request\",\"weights\":\"rough\",\"zone\":0,\"zones\":[\"tvm-dc1\"]}";
    }

    /** Starts a process; {@link #awaitReady} waits until it serves. */
    Sidecar(Recording record, String discovery, String known, String settings) throws IOException {
        this(record, discovery, known, settings, 192);
    }

    /** Starts a process whose configuration states a memory limit. */
    Sidecar(Recording record, String discovery, String known, String settings, int memoryMb)
            throws IOException {
        this.memoryMb = memoryMb;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        folder = Files.createTempDirectory("review-2-");
        log = folder.resolve("log.txt");
        config(discovery, known, settings);
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow()
                .replaceAll("^run = \"(.*)\"$", "$1");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
        builder.environment().put("PROXY_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("TMPDIR", folder.toString());
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        process = builder.start();
        STARTED.add(this);
        record.add("sidecar: started");
    }

    /** Writes the configuration; takes effect at a start or at SIGHUP. */
    void config(String discovery, String known, String settings) throws IOException {
        Path next = folder.resolve("next.json");
        Files.writeString(next, "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
                + discovery + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
                + memoryMb + ",\"sockets\":512},\"known\":" + known + ",\"settings\":" + settings + "}");
        Files.move(next, folder.resolve("config.json"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    /** Waits until /up answers 200; fails after 30 s. */
    void awaitReady(Recording record) throws Exception {
        for (int i = 0; i < 1500; i++) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(2000);
                socket.getOutputStream().write("GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n".getBytes());
                Message answer = Message.read(socket.getInputStream());
                if (answer != null && answer.status() == 200) {
                    record.add("sidecar: ready");
                    return;
                }
            } catch (IOException e) {
                if (!process.isAlive()) {
                    throw new IllegalStateException("the sidecar has ended: " + Files.readString(log));
                }
            }
            Thread.sleep(20);
        }
        throw new IllegalStateException("the sidecar was not ready within 30 s");
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** The process's private memory in MB, pages of files left out; 0 once it has ended. */
    double privateMemoryMb() throws IOException {
        Path status = Path.of("/proc/" + process.pid() + "/status");
        if (!process.isAlive() || !Files.exists(status)) {
            return 0;
        }
        return Files.readAllLines(status).stream().filter(line -> line.startsWith("RssAnon:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).sum() / 1024.0;
    }

    /** Sends a signal, such as HUP or TERM. */
    void signal(String name) throws Exception {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
            Files.deleteIfExists(folder.resolve("config.json"));
            Files.deleteIfExists(log);
            Files.deleteIfExists(folder);
        } catch (IOException | InterruptedException e) {
            return;
        }
    }
}
