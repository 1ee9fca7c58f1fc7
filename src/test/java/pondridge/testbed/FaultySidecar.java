package pondridge.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * A program in place of the sidecar that forwards each request to the first upstream of its configuration,
 * and breaks one rule. It shows that the testbed reports this.
 */
public final class FaultySidecar {
    /** What the program does wrong. */
    enum Fault { NONE, SENDS_AFTER_THE_CLOSE, TELLS_TOO_MUCH }

    /** By how much a rule is exceeded; the slack is less. */
    private static final int EXCESS_MS = 200;

    private final Fault fault;
    private final int upstreamPort;

    private FaultySidecar(Fault fault, int upstreamPort) {
        this.fault = fault;
        this.upstreamPort = upstreamPort;
    }

    /** The shell command that starts this program. */
    static String command(Fault fault) {
        return "exec java -Xmx64m -cp target/classes" + File.pathSeparator + "target/test-classes"
                + File.pathSeparator + "'target/lib/*' " + FaultySidecar.class.getName() + " " + fault;
    }

    /** Runs the program; the argument names the fault. */
    public static void main(String[] args) throws IOException {
        JsonNode config = new ObjectMapper().readTree(new File(System.getenv("PROXY_CONFIG")));
        FaultySidecar sidecar = new FaultySidecar(Fault.valueOf(args[0]),
                port(config.at("/known/targets/0/endpoint").asText()));
        try (ServerSocket server = new ServerSocket(port(config.path("listen").asText()), 50,
                InetAddress.getLoopbackAddress())) {
            while (true) {
                Socket client = server.accept();
                new Thread(() -> sidecar.serve(client)).start();
            }
        }
    }

    private static int port(String endpoint) {
        return Integer.parseInt(endpoint.substring(endpoint.lastIndexOf(':') + 1));
    }

    private void serve(Socket client) {
        try (client) {
            InputStream in = new BufferedInputStream(client.getInputStream());
            HttpMessage request = HttpMessage.read(in);
            if (request == null || request.header("Req-Id") == null) {
                write(client, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            long receivedAt = System.nanoTime();
            if (fault == Fault.SENDS_AFTER_THE_CLOSE) {
                awaitEnd(in);
                TimeUnit.MILLISECONDS.sleep(EXCESS_MS);
            }
            forward(request, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - receivedAt));
        } catch (IOException | InterruptedException e) {
            // The connection has ended.
        }
    }

    private static void awaitEnd(InputStream in) throws IOException {
        while (in.read() >= 0) {
            // Nothing more is expected.
        }
    }

    private void forward(HttpMessage request, long waitedMs) throws IOException {
        long told = Integer.parseInt(request.header("Req-Deadline-Ms")) - waitedMs
                + (fault == Fault.TELLS_TOO_MUCH ? EXCESS_MS : 0);
        try (Socket upstream = new Socket(InetAddress.getLoopbackAddress(), upstreamPort)) {
            write(upstream, "GET /api HTTP/1.1\r\nReq-Id: " + request.header("Req-Id")
                    + "\r\nReq-Deadline-Ms: " + told + "\r\n\r\n");
            HttpMessage.read(upstream.getInputStream());
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
