package pondridge.testbed;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import pondridge.testbed.RequestRecord.End;

/**
 * The application beside one sidecar: begins exchanges at a steady rate whatever becomes of earlier ones, on
 * connections that it keeps, and records how each request ended. What each exchange does depends on the seed
 * and its number alone.
 */
final class LoadGenerator {
    /** Half a second that the standing test allows after a request's time, and the slack on sockets. */
    static final int ANSWER_SLACK_MS = 550;
    /** An error or a close is owed within 3 s of connecting; the slack on sockets comes on top. */
    private static final int BAD_CLIENT_LIMIT_MS = 3_050;
    private static final int MOST_AHEAD = 4;
    private static final int LARGEST_BODY = 3_000;
    private static final int PIECES = 6;
    /** Beyond this a client closes a connection that has rested. */
    private static final int LONGEST_REST_MS = 4_000;

    private final int sidecar;
    private final InetSocketAddress address;
    private final SidecarSettings settings;
    private final RunHistory history;
    private final ExecutorService threads;
    private final String run;
    private final ClientMix manners;
    private final ArrayDeque<HttpExchange> resting = new ArrayDeque<>();
    private volatile boolean stopped;
    private Thread pacer;

    /** How clients behave as a whole. */
    enum ClientMix {
        /** As {@link ClientBehaviour} draws it. */
        MIXED,
        /** Proper requests, on connections that are kept. */
        PROPER,
        /** Proper requests, each on a connection of its own. */
        PROPER_ON_NEW_CONNECTIONS
    }

    /**
     * @param run names the run and its seed
     */
    LoadGenerator(int sidecar, InetSocketAddress address, SidecarSettings settings, RunHistory history,
            ExecutorService threads, String run, ClientMix manners) {
        this.sidecar = sidecar;
        this.address = address;
        this.settings = settings;
        this.history = history;
        this.threads = threads;
        this.run = run;
        this.manners = manners;
    }

    /** Begins; exchanges go on until {@link #stop}. */
    void start(int perSecond) {
        long interval = 1_000_000_000L / perSecond;
        pacer = LoopbackServer.startThread("load-" + sidecar, () -> {
            long next = System.nanoTime();
            for (int number = 0; !stopped; number++) {
                int mine = number;
                threads.execute(() -> exchange(mine));
                next += interval;
                StubUpstream.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
            }
        });
    }

    /** Begins no more exchanges; those under way go on. */
    void stop() {
        stopped = true;
        try {
            pacer.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes the connections that are kept. */
    synchronized void closeResting() {
        for (HttpExchange connection : resting) {
            connection.reset();
        }
        resting.clear();
    }

    private void exchange(int number) {
        Random random = SeededRandom.create(number, run + "/" + sidecar);
        ClientBehaviour behaviour = manners == ClientMix.MIXED ? ClientBehaviour.draw(random)
                : ClientBehaviour.WELL_BEHAVED;
        switch (behaviour) {
            case SENDS_RUBBISH -> expectDismissal("NONSENSE\r\n\r\n", behaviour);
            case STOPS_MIDWAY -> expectDismissal(half(newRequest(number, 0, random), random), behaviour);
            case SAYS_NOTHING -> expectDismissal("", behaviour);
            case PIPELINES, PIPELINES_AND_DISCONNECTS -> runAhead(number, behaviour, random);
            default -> ask(number, behaviour, random);
        }
    }

    private RequestRecord newRequest(int number, int part, Random random) {
        RequestClass requestClass = RequestClass.values()[random.nextInt(RequestClass.values().length)];
        int longest = settings.deadlineMs(requestClass);
        boolean shorter = manners == ClientMix.MIXED && random.nextInt(4) == 0;
        int deadlineMs = shorter ? longest / 2 + random.nextInt(longest / 2) : longest;
        String id = run + "-" + sidecar + "-" + number + "-" + part;
        return new RequestRecord(id, sidecar, requestClass, deadlineMs);
    }

    static String text(RequestRecord request, Random random) {
        String common = " /api/" + random.nextInt(1000) + " HTTP/1.1\r\nHost: app.svc\r\nReq-Id: "
                + request.id + "\r\nReq-Kind: " + request.requestClass.settingName()
                + "\r\nReq-Owner: acme\r\nReq-Deadline-Ms: " + request.deadlineMs + "\r\n";
        if (request.requestClass == RequestClass.LOOK) {
            return "GET" + common + "\r\n";
        }
        String body = "y".repeat(random.nextInt(LARGEST_BODY));
        String key = request.requestClass == RequestClass.HOLD
                ? "Idempotency-Key: " + request.id + "\r\n" : "";
        return "POST" + common + key + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String half(RequestRecord request, Random random) {
        String whole = text(request, random);
        int headEnd = whole.indexOf("\r\n\r\n");
        return whole.substring(0, 1 + random.nextInt(headEnd));
    }

    private void ask(int number, ClientBehaviour behaviour, Random random) {
        RequestRecord request = newRequest(number, 0, random);
        String text = text(request, random);
        int leaveAfterMs = random.nextInt(Math.max(1, request.deadlineMs / 4));
        HttpExchange connection = take();
        if (connection == null) {
            return;
        }
        history.add(request);
        boolean again = attempt(request, text, behaviour, leaveAfterMs, connection);
        if (again) {
            // The sidecar's close crossed the request on a resting connection: once more, on a new one.
            HttpExchange fresh = open();
            if (fresh == null || attempt(request, text, behaviour, leaveAfterMs, fresh)) {
                request.end(End.NOT_TAKEN, "closed twice before it was read");
            }
        }
    }

    /** True if the connection was closed over the unread request and it may be sent again. */
    private boolean attempt(RequestRecord request, String text, ClientBehaviour behaviour, int leaveAfterMs,
            HttpExchange connection) {
        boolean reused = connection.isReused();
        try {
            if (behaviour == ClientBehaviour.WRITES_SLOWLY) {
                connection.sendSlowly(text, PIECES, Math.min(60, request.deadlineMs / 30));
            } else {
                connection.send(text);
            }
        } catch (IOException e) {
            connection.reset();
            if (!reused && !history.wasForwarded(request.id)) {
                request.end(End.NOT_TAKEN, "connection broke before the request was written");
            }
            return reused;
        }
        request.sentAt = System.nanoTime();
        if (behaviour == ClientBehaviour.DISCONNECTS || behaviour == ClientBehaviour.RESETS) {
            leave(request, behaviour == ClientBehaviour.RESETS, leaveAfterMs, connection);
            return false;
        }
        End how = readAnswer(request, connection);
        if (how == End.CLOSED && reused && !history.wasForwarded(request.id)) {
            connection.reset();
            return true;
        }
        finish(request, connection, how);
        return false;
    }

    private void leave(RequestRecord request, boolean withReset, int afterMs, HttpExchange connection) {
        StubUpstream.sleep(afterMs);
        request.end(End.LEFT, "");
        if (withReset) {
            connection.reset();
        } else {
            closeQuietly(connection);
        }
    }

    /** How the request ended; the connection may carry on if it was answered and nothing says otherwise. */
    private End readAnswer(RequestRecord request, HttpExchange connection) {
        long until = request.sentAt + (request.deadlineMs + ANSWER_SLACK_MS) * 1_000_000L;
        try {
            HttpMessage answer = connection.read(until);
            if (answer == null) {
                return End.CLOSED;
            }
            request.detail = answer.closesConnection() ? "closes" : "";
            return switch (answer.status()) {
                case 200 -> {
                    request.servedAttempt = StubUpstream.parseAttemptNumber(request.id, answer.body());
                    yield End.SERVED;
                }
                case 429, 503 -> End.REFUSED;
                default -> End.FAILED;
            };
        } catch (SocketTimeoutException e) {
            return End.UNANSWERED;
        } catch (java.io.EOFException e) {
            return End.TRUNCATED;
        } catch (IOException e) {
            return End.CLOSED;
        }
    }

    private void finish(RequestRecord request, HttpExchange connection, End how) {
        boolean keeps = (how == End.SERVED || how == End.REFUSED || how == End.FAILED)
                && !request.detail.equals("closes") && manners != ClientMix.PROPER_ON_NEW_CONNECTIONS;
        request.end(how, request.detail);
        if (keeps) {
            rest(connection);
        } else {
            closeQuietly(connection);
        }
    }

    /** Several requests at once; what a close leaves unanswered behind an announced end was not taken. */
    private void runAhead(int number, ClientBehaviour behaviour, Random random) {
        HttpExchange connection = open();
        if (connection == null) {
            return;
        }
        List<RequestRecord> requests = new ArrayList<>();
        StringBuilder text = new StringBuilder();
        int count = 2 + random.nextInt(MOST_AHEAD - 1);
        for (int i = 0; i < count; i++) {
            RequestRecord request = newRequest(number, i, random);
            history.add(request);
            requests.add(request);
            text.append(text(request, random));
        }
        try {
            connection.send(text.toString());
        } catch (IOException e) {
            requests.forEach(each -> each.end(End.NOT_TAKEN, "not written"));
            connection.reset();
            return;
        }
        long now = System.nanoTime();
        requests.forEach(each -> each.sentAt = now);
        boolean leaves = behaviour == ClientBehaviour.PIPELINES_AND_DISCONNECTS;
        int answered = leaves ? random.nextInt(count) : count;
        readInTurn(requests, answered, connection);
        if (leaves) {
            requests.stream().filter(each -> each.end == End.OPEN)
                    .forEach(each -> each.end(End.LEFT, "ran ahead"));
        }
        closeQuietly(connection);
    }

    private void readInTurn(List<RequestRecord> requests, int answered, HttpExchange connection) {
        End last = End.OPEN;
        boolean announced = false;
        for (RequestRecord request : requests.subList(0, answered)) {
            if (announced) {
                last = End.NOT_TAKEN;
            } else if (last != End.CLOSED && last != End.TRUNCATED && last != End.UNANSWERED) {
                last = readAnswer(request, connection);
            }
            announced |= request.detail.equals("closes");
            request.end(last, request.detail);
        }
    }

    private void expectDismissal(String text, ClientBehaviour behaviour) {
        long startedAt = System.nanoTime();
        try (HttpExchange connection = new HttpExchange(address)) {
            long connectedAt = System.nanoTime();
            connection.send(text);
            HttpMessage answer = connection.read(connectedAt + BAD_CLIENT_LIMIT_MS * 1_000_000L);
            if (answer != null && answer.status() < 400) {
                history.report(new Violation(Invariant.BAD_CLIENT_DISMISSED,
                        "sidecar " + sidecar + " answered " + answer.status() + " to " + behaviour));
            }
        } catch (SocketTimeoutException e) {
            history.report(new Violation(Invariant.BAD_CLIENT_DISMISSED,
                    "sidecar " + sidecar + " kept " + behaviour + " since " + startedAt / 1_000_000));
        } catch (IOException e) {
            // Closed, or not even connected.
        }
    }

    /** A connection that rests, or a new one; null where none can be had. */
    private HttpExchange take() {
        synchronized (this) {
            while (!resting.isEmpty()) {
                HttpExchange connection = resting.pollLast();
                if (connection.idleMs() < LONGEST_REST_MS) {
                    return connection;
                }
                closeQuietly(connection);
            }
        }
        return open();
    }

    private synchronized void rest(HttpExchange connection) {
        connection.exchangeCompleted();
        resting.addLast(connection);
    }

    private HttpExchange open() {
        try {
            return new HttpExchange(address);
        } catch (IOException e) {
            return null;
        }
    }

    private static void closeQuietly(HttpExchange connection) {
        try {
            connection.close();
        } catch (IOException e) {
            // It was broken already.
        }
    }
}
