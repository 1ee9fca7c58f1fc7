package pondridge.sidecar;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.Semantics;
import pondridge.SettingsReader;

/** Reads from a request's head what the protocol page says of it. */
final class RequestParser {
    private static final long MICROS_TO_NANOS = 1_000;
    private static final int LONGEST_NUMBER = 9;
    private static final long HASH_PRIME = 0x100000001b3L;

    private final List<RequestClass> classes;
    private final List<String> classNames;
    private final List<String> tenantNames;

    RequestParser(SettingsReader settingsReader) {
        this.classes = settingsReader.settings().classes();
        this.classNames = settingsReader.names("profiles");
        this.tenantNames = settingsReader.names("parties");
    }

    /** The path without its query. */
    static String path(FullHttpRequest message) {
        String uri = message.uri();
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /**
     * The request as the dispatcher takes it.
     *
     * @param waited for how many nanoseconds it has waited for its turn; the client's time ran meanwhile
     * @throws IllegalArgumentException naming what does not fit the protocol
     */
    RequestDispatcher.ClientRequest parse(FullHttpRequest message, long waited) {
        header(message, "Req-Id");
        int kind = classNames.indexOf(header(message, "Req-Kind"));
        if (kind < 0) {
            throw new IllegalArgumentException("unknown Req-Kind");
        }
        int tenant = 0;
        if (!tenantNames.isEmpty()) {
            tenant = tenantNames.indexOf(header(message, "Req-Owner"));
            if (tenant < 0) {
                throw new IllegalArgumentException("unknown Req-Owner");
            }
        }
        boolean keyed = message.headers().contains("Idempotency-Key");
        Semantics semantics = classes.get(kind).semantics();
        HttpMethod method = semantics == Semantics.REPEATABLE ? HttpMethod.GET : HttpMethod.POST;
        if (!message.method().equals(method) || (semantics == Semantics.BY_KEY) != keyed) {
            throw new IllegalArgumentException("method or Idempotency-Key does not fit the class");
        }
        boolean hinted = message.headers().contains("Req-Cost");
        long costHint = hinted ? number(message, "Req-Cost") * MICROS_TO_NANOS : 0;
        return new RequestDispatcher.ClientRequest(kind, tenant, key(path(message)), waited,
                number(message, "Req-Deadline-Ms"), costHint, "1".equals(message.headers().get("Req-Retry")),
                method, message.uri(), message.headers(), ByteBufUtil.getBytes(message.content()));
    }

    /** How long the client waits, in milliseconds from its sending; -1 where it does not say so. */
    static long waitMs(FullHttpRequest message) {
        try {
            return number(message, "Req-Deadline-Ms");
        } catch (IllegalArgumentException e) {
            return -1;
        }
    }

    private static String header(FullHttpRequest message, String name) {
        String value = message.headers().get(name);
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("missing " + name);
        }
        return value;
    }

    /** A whole number that is neither negative nor longer than any wait or work can be. */
    private static long number(FullHttpRequest message, String name) {
        String value = header(message, name);
        boolean digits = value.chars().allMatch(digit -> digit >= '0' && digit <= '9');
        if (value.length() > LONGEST_NUMBER || !digits) {
            throw new IllegalArgumentException("not a whole number: " + name);
        }
        return Long.parseLong(value);
    }

    /** What the request is about: the same number for the same last part of the path, 0 for none. */
    private static long key(String path) {
        String last = path.substring(path.lastIndexOf('/') + 1);
        long key = 0;
        for (int i = 0; i < last.length(); i++) {
            key = key * HASH_PRIME + last.charAt(i);
        }
        return key;
    }
}
