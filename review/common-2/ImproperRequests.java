package review2;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Peers that send something that is not a proper HTTP/1.1 request: each is owed an error or a close. */
final class ImproperRequests {
    private ImproperRequests() { }

    /** Without the disruption each peer sends its request in the proper form, which has to be served. */
    static boolean run(Recording record, boolean trouble) throws Exception {
        Map<String, String[]> changes = new LinkedHashMap<>();
        changes.put("no Host", new String[] {"Host: app.svc\r\n", ""});
        changes.put("two Hosts that differ", new String[] {"Host: app.svc\r\n",
            "Host: app.svc\r\nHost: other.svc\r\n"});
        changes.put("a version that is not HTTP/1.1", new String[] {"HTTP/1.1", "HTTP/9.9"});
        Discovery discovery = new Discovery(record);
        Upstream upstream = new Upstream("s-1", record);
        discovery.put(upstream.target("SERVING"));
        int served = 0;
        int number = 0;
        try (Sidecar sidecar = new Sidecar(record, discovery.address(), discovery.list(),
                Sidecar.settings())) {
            sidecar.awaitReady(record);
            for (Map.Entry<String, String[]> change : changes.entrySet()) {
                String id = "p" + ++number;
                String proper = Load.request(id);
                String sent = trouble ? proper.replace(change.getValue()[0], change.getValue()[1]) : proper;
                String answer = exchange(sidecar.port, sent);
                boolean arrived = upstream.arrivals.stream()
                        .anyMatch(arrival -> arrival.request().header("req-id").equals(id));
                served += arrived ? 1 : 0;
                record.say((trouble ? change.getKey() : "proper") + ": answered " + answer
                        + (arrived ? ", and an upstream was given it" : ", no upstream was given it"));
            }
        }
        if (!trouble && served < changes.size()) {
            throw new IllegalStateException("proper requests were not served");
        }
        return !trouble || served == 0;
    }

    private static String exchange(int port, String request) throws IOException {
        try (Socket connection = new Socket("127.0.0.1", port)) {
            connection.setSoTimeout(3000);
            connection.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            Message answer = Message.read(connection.getInputStream());
            return answer == null ? "with a close" : answer.firstLine() + " (" + answer.text() + ")";
        }
    }
}
