package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One sidecar, three upstreams, 160 clients that send 40 short requests a second together and, in a burst of 7 s,
 * 110 clients that begin at once, each with a request every 2.5 s that is as long as the protocol allows. With the
 * disruption, these write slowly: eight pieces, one every 0.2 s, so that each request is whole after 1.4 s. When all
 * clients have left, the sidecar gets 10 s of rest, and is then asked for {@code GET /up}.
 */
public final class SlowWriters implements Kit.Case {
    private static final int SHORT_CLIENTS = 160;
    private static final int SHORT_PAUSE_MS = 4_000;
    private static final int LONG_CLIENTS = 110;
    private static final int LONG_BYTES = 1 << 16;
    private static final int PIECES = 8;
    private static final int PIECE_INTERVAL_MS = 200;
    /** From one request of a client with long requests to its next, whether it writes slowly or not. */
    private static final int LONG_INTERVAL_MS = 2_500;
    private static final int KEYED_DEADLINE_MS = 1_200;
    private static final int ONCE_DEADLINE_MS = 2_500;
    private static final int SERVICE_MS = 10;
    private static final long CALM_MS = 4_000;
    /** How long the clients with long requests send; the pages name bursts of 2.4 to 7.6 s. */
    private static final long LONG_LOAD_MS = 7_000;
    /** How long the others send from the burst's begin on. */
    private static final long LOAD_MS = 12_000;
    private static final long REST_MS = 10_000;
    private static final int UP_TIMEOUT_MS = 3_000;
    private static final int MAX_RECORDED = 20;

    private final List<Client.Result> shortResults = new ArrayList<>();
    private final List<Client.Result> longResults = new ArrayList<>();
    private Kit kit;

    @Override
    public boolean run(Kit caseKit) throws Exception {
        kit = caseKit;
        List<String> entries = new ArrayList<>();
        for (String uid : List.of("s-1", "s-2", "s-3")) {
            Upstream upstream = new Upstream(uid, this::handle);
            upstream.start();
            entries.add(Discovery.entry(uid, upstream.port(), 1));
        }
        String list = Discovery.list(entries.toArray(new String[0]));
        Discovery discovery = new Discovery(list);
        Kit.Sidecar sidecar = kit.startSidecar("n1", discovery.port(),
                Settings.of(150,
                        Settings.requestClass("reading-post", "by_key", 300, KEYED_DEADLINE_MS, 6_000),
                        Settings.requestClass("credit-settle", "once", 600, ONCE_DEADLINE_MS, 0)), list);
        List<Thread> clients = new ArrayList<>();
        long until = kit.ms() + CALM_MS + LOAD_MS;
        for (int i = 0; i < SHORT_CLIENTS; i++) {
            clients.add(start(() -> sendShort(new Client(kit, sidecar.port), until)));
            Kit.sleep(SHORT_PAUSE_MS / SHORT_CLIENTS);
        }
        Kit.sleep(CALM_MS);
        kit.record(LONG_CLIENTS + " clients with long requests begin, "
                + (kit.trouble() ? "and write slowly" : "and write at once"));
        long longUntil = kit.ms() + LONG_LOAD_MS;
        for (int i = 0; i < LONG_CLIENTS; i++) {
            clients.add(start(() -> sendLong(sidecar.port, longUntil)));
            Kit.sleep(1);
        }
        for (Thread client : clients) {
            client.join();
        }
        kit.record("all clients have left; " + REST_MS + " ms of rest");
        Kit.sleep(REST_MS);
        boolean up = sidecar.isUp(UP_TIMEOUT_MS);
        kit.record("process " + (sidecar.process.isAlive() ? "alive" : "ended") + ", GET /up "
                + (up ? "answered 200" : "not answered 200 within " + UP_TIMEOUT_MS + " ms"));
        sidecar.recordLog();
        int unanswered = check("short", shortResults) + check("long", longResults);
        if (shortResults.size() < 100) {
            throw new Kit.CannotRun("only " + shortResults.size() + " requests");
        }
        return unanswered == 0 && up;
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.start();
        return thread;
    }

    private void sendShort(Client client, long until) {
        while (kit.ms() < until) {
            String id = Client.newId();
            Client.Result result = client.send(id, "reading-post", Client.newId() + id, KEYED_DEADLINE_MS,
                    new byte[200]);
            synchronized (shortResults) {
                shortResults.add(result);
            }
            Kit.sleep(SHORT_PAUSE_MS);
        }
    }

    /** Each request goes on a connection of its own, and counts once its last byte is written. */
    private void sendLong(int port, long until) {
        while (kit.ms() < until) {
            long began = kit.ms();
            String id = Client.newId();
            try (Socket socket = Client.connect(port)) {
                socket.setSoTimeout(ONCE_DEADLINE_MS + Client.LATE_MS);
                OutputStream out = socket.getOutputStream();
                out.write(("POST /api HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: credit-settle"
                        + "\r\nReq-Owner: acme\r\nReq-Deadline-Ms: " + ONCE_DEADLINE_MS + "\r\nContent-Length: "
                        + LONG_BYTES + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                byte[] piece = new byte[LONG_BYTES / PIECES];
                for (int i = 0; i < PIECES; i++) {
                    if (i > 0 && kit.trouble()) {
                        Kit.sleep(PIECE_INTERVAL_MS);
                    }
                    out.write(piece);
                }
                record(awaitAnswer(id, socket));
            } catch (IOException e) {
                kit.record("long request " + id + " not written whole: " + e.getMessage());
            }
            Kit.sleep(LONG_INTERVAL_MS - (kit.ms() - began));
        }
    }

    private Client.Result awaitAnswer(String id, Socket socket) {
        long sent = kit.ms();
        try {
            HttpMessage answer = HttpMessage.read(new BufferedInputStream(socket.getInputStream()));
            return answer == null ? new Client.Result(id, -2, "closed without an answer", sent, kit.ms() - sent)
                    : new Client.Result(id, answer.status(), answer.text(), sent, kit.ms() - sent);
        } catch (SocketTimeoutException e) {
            return new Client.Result(id, 0, "no answer within " + (ONCE_DEADLINE_MS + Client.LATE_MS) + " ms",
                    sent, kit.ms() - sent);
        } catch (IOException e) {
            return new Client.Result(id, -2, "closed without an answer: " + e.getMessage(), sent,
                    kit.ms() - sent);
        }
    }

    private void record(Client.Result result) {
        synchronized (longResults) {
            longResults.add(result);
        }
    }

    private boolean handle(Upstream upstream, HttpMessage request, Socket socket, OutputStream out)
            throws IOException {
        Kit.sleep(SERVICE_MS);
        out.write(Upstream.answer("stored " + request.body().length + " bytes of "
                + request.headers().get("Req-Id")));
        return true;
    }

    private int check(String name, List<Client.Result> results) {
        Map<Integer, Integer> byStatus = new TreeMap<>();
        int unanswered = 0;
        for (Client.Result result : results) {
            byStatus.merge(result.status(), 1, Integer::sum);
            if (result.status() == 0 && ++unanswered <= MAX_RECORDED) {
                kit.record("BROKEN: " + name + " request " + result.id() + ", last byte written at "
                        + result.startedMs() + " ms, has no answer: " + result.text());
            }
        }
        kit.record(results.size() + " " + name + " requests, by status (0: no answer, -1: not connected, -2: closed) "
                + byStatus);
        return unanswered;
    }
}
