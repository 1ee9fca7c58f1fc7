package pondridge.sidecar;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.Semantics;
import pondridge.SettingsReader;

/**
 * Validates the headers of a client's HTTP request and turns it into a
 * {@link RequestDispatcher.ClientRequest}. Immutable; used by {@link ClientConnection} on the event loop.
 */
final class RequestParser {
    private static final long NANOS_PER_MICRO = 1_000;
    /** No deadline in milliseconds and no cost in microseconds needs more digits. */
    private static final int MAX_NUMBER_DIGITS = 9;
    private static final long HASH_PRIME = 0x100000001b3L;

    private final List<RequestClass> classes;
    private final List<String> classNames;
    private final List<String> tenantNames;

    RequestParser(SettingsReader settingsReader) {
        this.classes = settingsReader.settings().classes();
        this.classNames = settingsReader.names("profiles");
        this.tenantNames = settingsReader.names("parties");
    }

    /** The path of the request's URI, without the query. */
    static String path(HttpRequest message) {
        String uri = message.uri();
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /**
     * Parses a request for the dispatcher.
     *
     * @param waitedNanos how long the request may have waited in this sidecar: unaccepted, unread, or behind
     *     earlier requests on its connection. The client's timeout has run meanwhile.
     * @throws InvalidRequestException if a header is missing or invalid; the client gets its message
     */
    RequestDispatcher.ClientRequest parse(ReceivedRequest request, long waitedNanos)
            throws InvalidRequestException {
        HttpRequest message = request.head();
        header(message, "Req-Id");
        int classIndex = classNames.indexOf(header(message, "Req-Kind"));
        if (classIndex < 0) {
            throw new InvalidRequestException("unknown Req-Kind");
        }
        int tenant = 0;
        if (!tenantNames.isEmpty()) {
            tenant = tenantNames.indexOf(header(message, "Req-Owner"));
            if (tenant < 0) {
                throw new InvalidRequestException("unknown Req-Owner");
            }
        }
        boolean hasIdempotencyKey = message.headers().contains("Idempotency-Key");
        Semantics semantics = classes.get(classIndex).semantics();
        HttpMethod method = semantics == Semantics.REPEATABLE ? HttpMethod.GET : HttpMethod.POST;
        if (!message.method().equals(method) || (semantics == Semantics.BY_KEY) != hasIdempotencyKey) {
            throw new InvalidRequestException("method or Idempotency-Key does not fit the class");
        }
        boolean hasCostHint = message.headers().contains("Req-Cost");
        long costHint = hasCostHint ? number(message, "Req-Cost") * NANOS_PER_MICRO : 0;
        return new RequestDispatcher.ClientRequest(classIndex, tenant, key(path(message)), waitedNanos,
                number(message, "Req-Deadline-Ms"), costHint, "1".equals(message.headers().get("Req-Retry")),
                method, message.uri(), message.headers(), request.body(), request.memory());
    }

    /** How long the client waits from sending the request, in milliseconds; -1 without a valid header. */
    static long timeoutMs(HttpRequest message) {
        try {
            return number(message, "Req-Deadline-Ms");
        } catch (InvalidRequestException e) {
            return -1;
        }
    }

    private static String header(HttpRequest message, String name) throws InvalidRequestException {
        String value = message.headers().get(name);
        if (value == null || value.isEmpty()) {
            throw new InvalidRequestException("missing " + name);
        }
        return value;
    }

    /** The value of a header that must be a whole number, not negative and of at most nine digits. */
    private static long number(HttpRequest message, String name) throws InvalidRequestException {
        String value = header(message, name);
        boolean allDigits = value.chars().allMatch(digit -> digit >= '0' && digit <= '9');
        if (value.length() > MAX_NUMBER_DIGITS || !allDigits) {
            throw new InvalidRequestException("not a whole number: " + name);
        }
        return Long.parseLong(value);
    }

    /** A hash of the path's last segment, which names the object of the request; 0 if it is empty. */
    private static long key(String path) {
        String segment = path.substring(path.lastIndexOf('/') + 1);
        long key = 0;
        for (int i = 0; i < segment.length(); i++) {
            key = key * HASH_PRIME + segment.charAt(i);
        }
        return key;
    }
}
