package pondridge.sidecar;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.Set;

/**
 * Remembers the ids of requests that must not run twice, so that one which its client sends again, on another
 * connection, is not sent to an upstream again. An id is kept while its request is open and, if an upstream
 * may have run it, for some time after. The number of ended requests that are remembered is limited.
 *
 * <p>Used on the event loop only. Times are in nanoseconds on one monotonic clock.
 */
final class RequestIdRegistry {
    /** More than a sidecar gets in the retention time at many hundred requests a second. */
    static final int MAX_ENDED = 2_048;
    /** A longer id is replaced by its hash, since clients choose the length. */
    private static final int MAX_ID_LENGTH = 64;

    /** A request that has ended and may have run. */
    private record Ended(String key, long forgetAt) { }

    private final long retention;
    /** Of open requests, and of those in {@link #ended}. */
    private final Set<String> known = new HashSet<>();
    /** In the order in which they ended, and so in that in which they are forgotten. */
    private final ArrayDeque<Ended> ended = new ArrayDeque<>();

    /**
     * Creates an empty registry.
     *
     * @param retention for how long an id is kept after its request has ended
     */
    RequestIdRegistry(long retention) {
        this.retention = retention;
    }

    /** Registers a request as open; returns false, and registers nothing, if its id is known. */
    boolean begin(String id, long now) {
        forgetOld(now);
        return known.add(key(id));
    }

    /** Registers that an open request has ended, with none of its attempts in flight. */
    void end(String id, boolean mayHaveRun, long now) {
        String key = key(id);
        if (mayHaveRun) {
            ended.add(new Ended(key, now + retention));
        } else {
            known.remove(key);
        }
        forgetOld(now);
    }

    private void forgetOld(long now) {
        while (!ended.isEmpty() && (ended.size() > MAX_ENDED || now - ended.peek().forgetAt >= 0)) {
            known.remove(ended.remove().key);
        }
    }

    private static String key(String id) {
        if (id.length() <= MAX_ID_LENGTH) {
            return id;
        }
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(id.getBytes(StandardCharsets.ISO_8859_1)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JVM has SHA-256", e);
        }
    }

    /** The number of ids that are known. */
    int size() {
        return known.size();
    }
}
