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
 * The clients of one sidecar. Begins exchanges at a constant rate, whether or not earlier ones have ended,
 * each on a client thread; keeps idle connections for reuse and records in the {@link RunHistory} how each
 * request ended. What is sent in an exchange depends only on the run's name, the sidecar and the exchange's
 * number.
 */
final class LoadGenerator {
    /**
     * A response must arrive at most this long after the deadline: 500 ms, plus 50 ms because the time is
     * taken at the client's socket.
     */
    static final int RESPONSE_SLACK_MS = 550;
    /**
     * A client that sends no valid request must get an error or a close at most this long after it has
     * connected: 3 s, plus 50 ms because the time is taken at the client's socket.
     */
    private static final int BAD_CLIENT_LIMIT_MS = 3_050;
    private static final int MAX_PIPELINED_REQUESTS = 4;
    /** Upper bound of the random length of a body, exclusive. */
    private static final int MAX_BODY_BYTES = 3_000;
    private static final int SLOW_WRITE_PIECES = 6;
    /** A connection that has been idle for longer is closed instead of reused. */
    private static final int MAX_IDLE_MS = 4_000;

    private final int sidecar;
    private final InetSocketAddress address;
    private final SidecarSettings settings;
    private final RunHistory history;
    private final ExecutorService clientThreads;
    private final String runName;
    private final ClientMix clientMix;
    private final ArrayDeque<HttpConnection> idleConnections = new ArrayDeque<>();
    private volatile boolean stopped;
    private Thread generatorThread;

    /** The mixture of behaviours of all clients. */
    enum ClientMix {
        /** A random mixture, as {@link ClientBehaviour#draw} draws it. */
        MIXED,
        /** Every client waits for its response; connections are reused. */
        WELL_BEHAVED,
        /** Every client waits for its response; each request has its own connection. */
        WELL_BEHAVED_ON_NEW_CONNECTIONS
    }

    /**
     * @param runName contains the run's seed; is a part of request ids and seeds the random numbers
     */
    LoadGenerator(int sidecar, InetSocketAddress address, SidecarSettings settings, RunHistory history,
            ExecutorService clientThreads, String runName, ClientMix clientMix) {
        this.sidecar = sidecar;
        this.address = address;
        this.settings = settings;
        this.history = history;
        this.clientThreads = clientThreads;
        this.runName = runName;
        this.clientMix = clientMix;
    }

    /** Starts a thread that begins exchanges until {@link #stop}. */
    void start(int exchangesPerSecond) {
        long intervalNanos = 1_000_000_000L / exchangesPerSecond;
        generatorThread = LoopbackServer.startThread("load-" + sidecar, () -> {
            long nextAt = System.nanoTime();
            for (int number = 0; !stopped; number++) {
                int exchangeNumber = number;
                clientThreads.execute(() -> runExchange(exchangeNumber));
                nextAt += intervalNanos;
                StubUpstream.sleep(Math.max(0, (nextAt - System.nanoTime()) / 1_000_000));
            }
        });
    }

    /** Begins no more exchanges. Those that have begun continue. */
    void stop() {
        stopped = true;
        try {
            generatorThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes the idle connections. */
    synchronized void closeIdleConnections() {
        for (HttpConnection connection : idleConnections) {
            connection.reset();
        }
        idleConnections.clear();
    }

    private void runExchange(int number) {
        Random random = SeededRandom.create(number, runName + "/" + sidecar);
        ClientBehaviour behaviour = clientMix == ClientMix.MIXED ? ClientBehaviour.draw(random)
                : ClientBehaviour.WELL_BEHAVED;
        switch (behaviour) {
            case SENDS_RUBBISH -> expectErrorOrClose("NONSENSE\r\n\r\n", behaviour);
            case STOPS_MIDWAY ->
                    expectErrorOrClose(truncatedText(newRequest(number, 0, random), random), behaviour);
            case SAYS_NOTHING -> expectErrorOrClose("", behaviour);
            case PIPELINES, PIPELINES_AND_DISCONNECTS -> pipelineRequests(number, behaviour, random);
            default -> sendRequest(number, behaviour, random);
        }
    }

    private RequestRecord newRequest(int number, int index, Random random) {
        RequestClass requestClass = RequestClass.values()[random.nextInt(RequestClass.values().length)];
        int maxDeadlineMs = settings.deadlineMs(requestClass);
        boolean shortened = clientMix == ClientMix.MIXED && random.nextInt(4) == 0;
        int deadlineMs = shortened ? maxDeadlineMs / 2 + random.nextInt(maxDeadlineMs / 2) : maxDeadlineMs;
        String id = runName + "-" + sidecar + "-" + number + "-" + index;
        return new RequestRecord(id, sidecar, requestClass, deadlineMs);
    }

    /** Returns the request as sent on the wire, with a random path and body length. */
    static String requestText(RequestRecord request, Random random) {
        String commonHead = " /api/" + random.nextInt(1000) + " HTTP/1.1\r\nHost: app.svc\r\nReq-Id: "
                + request.id + "\r\nReq-Kind: " + request.requestClass.settingName()
                + "\r\nReq-Owner: acme\r\nReq-Deadline-Ms: " + request.deadlineMs + "\r\n";
        if (request.requestClass == RequestClass.LOOK) {
            return "GET" + commonHead + "\r\n";
        }
        String body = "y".repeat(random.nextInt(MAX_BODY_BYTES));
        String key = request.requestClass == RequestClass.HOLD
                ? "Idempotency-Key: " + request.id + "\r\n" : "";
        return "POST" + commonHead + key + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Returns a part of the request that ends within its header section. */
    private static String truncatedText(RequestRecord request, Random random) {
        String completeText = requestText(request, random);
        int headEnd = completeText.indexOf("\r\n\r\n");
        return completeText.substring(0, 1 + random.nextInt(headEnd));
    }

    private void sendRequest(int number, ClientBehaviour behaviour, Random random) {
        RequestRecord request = newRequest(number, 0, random);
        String text = requestText(request, random);
        int disconnectAfterMs = random.nextInt(Math.max(1, request.deadlineMs / 4));
        HttpConnection connection = takeConnection();
        if (connection == null) {
            return;
        }
        history.add(request);
        boolean retry = sendOver(request, text, behaviour, disconnectAfterMs, connection);
        if (retry) {
            // The sidecar closed the idle connection before it read the request. The request is sent once
            // more, on a new connection.
            HttpConnection newConnection = openConnection();
            if (newConnection == null
                    || sendOver(request, text, behaviour, disconnectAfterMs, newConnection)) {
                request.end(End.NOT_TAKEN, "closed twice before it was read");
            }
        }
    }

    /**
     * Sends the request over this connection and records how it ended.
     *
     * @return whether the request can be sent again: a reused connection failed while the request was
     *     written, or was closed before the request was forwarded
     */
    private boolean sendOver(RequestRecord request, String text, ClientBehaviour behaviour,
            int disconnectAfterMs, HttpConnection connection) {
        boolean reused = connection.isReused();
        try {
            if (behaviour == ClientBehaviour.WRITES_SLOWLY) {
                connection.sendSlowly(text, SLOW_WRITE_PIECES, Math.min(60, request.deadlineMs / 30));
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
        request.clientPort = connection.localPort();
        if (behaviour == ClientBehaviour.DISCONNECTS || behaviour == ClientBehaviour.RESETS) {
            disconnect(request, behaviour == ClientBehaviour.RESETS, disconnectAfterMs, connection);
            return false;
        }
        End end = readResponse(request, connection);
        if (end == End.CLOSED && reused && !history.wasForwarded(request.id)) {
            connection.reset();
            return true;
        }
        finish(request, connection, end);
        return false;
    }

    private void disconnect(RequestRecord request, boolean withReset, int delayMs,
            HttpConnection connection) {
        StubUpstream.sleep(delayMs);
        request.end(End.LEFT, "");
        if (withReset) {
            connection.reset();
        } else {
            closeQuietly(connection);
        }
        request.closedAt = System.nanoTime();
    }

    /** Waits for the response, records its details, and returns how the request ended. */
    private End readResponse(RequestRecord request, HttpConnection connection) {
        long timeoutAt = request.sentAt + (request.deadlineMs + RESPONSE_SLACK_MS) * 1_000_000L;
        try {
            HttpMessage response = connection.read(timeoutAt);
            if (response == null) {
                return End.CLOSED;
            }
            request.detail = response.closesConnection() ? "closes" : "";
            return switch (response.status()) {
                case 200 -> {
                    request.servedAttempt = StubUpstream.parseAttemptNumber(request.id, response.body());
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

    private void finish(RequestRecord request, HttpConnection connection, End end) {
        boolean reusable = (end == End.SERVED || end == End.REFUSED || end == End.FAILED)
                && !request.detail.equals("closes") && clientMix != ClientMix.WELL_BEHAVED_ON_NEW_CONNECTIONS;
        request.end(end, request.detail);
        if (reusable) {
            keepConnection(connection);
        } else {
            closeQuietly(connection);
        }
    }

    /**
     * Sends several requests at once on a new connection. Those behind a response that announces the end of
     * the connection count as not taken.
     */
    private void pipelineRequests(int number, ClientBehaviour behaviour, Random random) {
        HttpConnection connection = openConnection();
        if (connection == null) {
            return;
        }
        List<RequestRecord> requests = new ArrayList<>();
        StringBuilder text = new StringBuilder();
        int count = 2 + random.nextInt(MAX_PIPELINED_REQUESTS - 1);
        for (int i = 0; i < count; i++) {
            RequestRecord request = newRequest(number, i, random);
            history.add(request);
            requests.add(request);
            text.append(requestText(request, random));
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
        requests.forEach(each -> each.clientPort = connection.localPort());
        boolean disconnects = behaviour == ClientBehaviour.PIPELINES_AND_DISCONNECTS;
        int responseCount = disconnects ? random.nextInt(count) : count;
        readResponses(requests, responseCount, connection);
        if (disconnects) {
            requests.stream().filter(each -> each.end == End.OPEN)
                    .forEach(each -> each.end(End.LEFT, "ran ahead"));
        }
        closeQuietly(connection);
        long closedAt = System.nanoTime();
        requests.forEach(each -> each.closedAt = closedAt);
    }

    private void readResponses(List<RequestRecord> requests, int responseCount, HttpConnection connection) {
        End lastEnd = End.OPEN;
        boolean closeAnnounced = false;
        for (RequestRecord request : requests.subList(0, responseCount)) {
            if (closeAnnounced) {
                lastEnd = End.NOT_TAKEN;
            } else if (lastEnd != End.CLOSED && lastEnd != End.TRUNCATED && lastEnd != End.UNANSWERED) {
                lastEnd = readResponse(request, connection);
            }
            closeAnnounced |= request.detail.equals("closes");
            request.end(lastEnd, request.detail);
        }
    }

    private void expectErrorOrClose(String text, ClientBehaviour behaviour) {
        long startedAt = System.nanoTime();
        try (HttpConnection connection = new HttpConnection(address)) {
            long connectedAt = System.nanoTime();
            connection.send(text);
            HttpMessage response = connection.read(connectedAt + BAD_CLIENT_LIMIT_MS * 1_000_000L);
            if (response != null && response.status() < 400) {
                history.report(new Violation(Invariant.BAD_CLIENT_DISMISSED,
                        "sidecar " + sidecar + " answered " + response.status() + " to " + behaviour));
            }
        } catch (SocketTimeoutException e) {
            history.report(new Violation(Invariant.BAD_CLIENT_DISMISSED,
                    "sidecar " + sidecar + " kept " + behaviour + " since " + startedAt / 1_000_000));
        } catch (IOException e) {
            // The sidecar closed the connection or did not accept it.
        }
    }

    /** Returns an idle connection, or a new one, or null if none can be opened. */
    private HttpConnection takeConnection() {
        synchronized (this) {
            while (!idleConnections.isEmpty()) {
                HttpConnection connection = idleConnections.pollLast();
                if (connection.idleMs() < MAX_IDLE_MS) {
                    return connection;
                }
                closeQuietly(connection);
            }
        }
        return openConnection();
    }

    private synchronized void keepConnection(HttpConnection connection) {
        connection.exchangeCompleted();
        idleConnections.addLast(connection);
    }

    /** Returns a new connection, or null if it cannot be opened. */
    private HttpConnection openConnection() {
        try {
            return new HttpConnection(address);
        } catch (IOException e) {
            return null;
        }
    }

    private static void closeQuietly(HttpConnection connection) {
        try {
            connection.close();
        } catch (IOException e) {
            // The connection is broken; nothing more has to be closed.
        }
    }
}
