package review2;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A client that sends one unsafe request at a time, with pauses between them, on a connection that it keeps. */
final class Load implements AutoCloseable {
    private final Thread thread;
    private volatile boolean stopped;
    final AtomicInteger sent = new AtomicInteger();
    final AtomicInteger served = new AtomicInteger();
    final AtomicInteger failed = new AtomicInteger();

    final AtomicInteger unanswered = new AtomicInteger();

    /** Starts to send to a sidecar; in step, all clients send at the same moments, one pause apart. */
    Load(int port, String prefix, long pauseMs, boolean inStep, Recording record, int bodyBytes) {
        thread = Server.daemon(() -> {
            Socket connection = null;
            while (!stopped) {
                String id = prefix + sent.incrementAndGet();
                String answer;
                boolean written = false;
                try {
                    if (connection == null) {
                        connection = new Socket("127.0.0.1", port);
                        connection.setTcpNoDelay(true);
                        connection.setSoTimeout(4000);
                    }
                    connection.getOutputStream().write(request(id, bodyBytes).getBytes(StandardCharsets.US_ASCII));
                    written = true;
                    Message message = Message.read(connection.getInputStream());
                    answer = message == null ? "closed" : message.firstLine() + " "
                            + message.text().substring(0, Math.min(40, message.body().length));
                    unanswered.addAndGet(message == null ? 1 : 0);
                    if (message == null || message.header("connection").equals("close")) {
                        connection.close();
                        connection = null;
                    }
                    if (message != null && message.status() == 200) {
                        served.incrementAndGet();
                    } else if (message != null && message.status() != 503) {
                        failed.incrementAndGet();
                    }
                } catch (IOException e) {
                    answer = e.toString();
                    unanswered.addAndGet(written ? 1 : 0);
                    connection = null;
                }
                record.add("client: " + id + " -> " + answer);
                Thread.sleep(inStep ? pauseMs - System.currentTimeMillis() % pauseMs : pauseMs);
            }
        });
    }

    /** An unsafe request in the form of the protocol page. */
    static String request(String id) {
        return request(id, 2);
    }

    private static String request(String id, int bodyBytes) {
        return "POST /api HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: credit-settle\r\n"
                + "Req-Owner: kuttanad-north\r\nReq-Deadline-Ms: 2500\r\nContent-Length: " + bodyBytes
                + "\r\n\r\n" + "b".repeat(bodyBytes);
    }

    /** Has the client send nothing more. */
    void stop() {
        stopped = true;
    }

    @Override
    public void close() throws InterruptedException {
        stopped = true;
        thread.join(5000);
    }
}
