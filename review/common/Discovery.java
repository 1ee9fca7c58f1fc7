package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A sound discovery: answers a call with the whole list, and holds a watch open with an empty line every 2 s.
 * The list does not change.
 */
public final class Discovery {
    private static final long EMPTY_LINE_INTERVAL_MS = 2_000;

    private final ServerSocket server;
    private final String list;

    /** @param list the whole list, as one JSON object */
    public Discovery(String list) throws IOException {
        this.list = list;
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
    }

    public int port() {
        return server.getLocalPort();
    }

    /** One entry of the list. */
    public static String entry(String uid, int port, int group) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port + "\",\"az\":\"dc1\",\"model\":\"m\","
                + "\"pod_group\":" + group + ",\"state\":\"SERVING\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    /** A whole list of these entries. */
    public static String list(String... entries) {
        return "{\"rev\":41,\"all\":true,\"targets\":[" + String.join(",", entries) + "]}";
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            HttpMessage call = HttpMessage.read(in);
            OutputStream out = socket.getOutputStream();
            if (call == null) {
                return;
            }
            if (!call.firstLine().contains("watch=1")) {
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + list.length() + "\r\nConnection: close\r\n\r\n" + list)
                        .getBytes(StandardCharsets.UTF_8));
                return;
            }
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            chunk(out, list + "\n");
            while (true) {
                Kit.sleep(EMPTY_LINE_INTERVAL_MS);
                chunk(out, "\n");
            }
        } catch (IOException e) {
            // The sidecar has closed the watch.
        }
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
        out.write(bytes);
        out.write("\r\n".getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
