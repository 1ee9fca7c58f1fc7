package pondridge.testbed;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * The settings of all sidecars in one run; writes a sidecar's configuration file from them. Reports show the
 * components under their own names.
 *
 * @param deadlinesMs the longest deadline of each {@link RequestClass}, in the order of its constants
 * @param descriptors how many file descriptors a sidecar may have open
 * @param mayCancel whether attempts in flight may be cancelled
 * @param overloadFactor multiple of its current capacity at which a cold upstream is overloaded
 */
record SidecarSettings(List<Integer> deadlinesMs, int descriptors, boolean mayCancel, double overloadFactor) {
    static final int MAX_ATTEMPTS = 3;
    static final int DRAIN_GRACE_MS = 1_000;
    static final int RAMP_MS = 5_000;
    static final int OVERLOAD_WINDOW_MS = 1_000;
    static final double COLD_CAPACITY_SHARE = 0.3;
    /** The platform caps deadlines at this value when it computes the time from SIGTERM to SIGKILL. */
    private static final int MAX_COUNTED_DEADLINE_MS = 3_000;
    private static final int KILL_SLACK_MS = 700;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int IDLE_TIMEOUT_MS = 4_000;
    private static final int MEMORY_MB = 192;
    private static final long NANOS_PER_MS = 1_000_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    int deadlineMs(RequestClass requestClass) {
        return deadlinesMs.get(requestClass.ordinal());
    }

    /** The shortest time from SIGTERM to SIGKILL: the longest deadline, capped, plus some slack. */
    int killAfterMs() {
        int longest = deadlinesMs.stream().mapToInt(Integer::intValue).max().orElseThrow();
        return Math.min(longest, MAX_COUNTED_DEADLINE_MS) + KILL_SLACK_MS;
    }

    /**
     * Builds the configuration file of one sidecar.
     *
     * @param number the sidecar's index in the fleet
     * @param sidecars the size of the fleet
     * @param known the upstream list that the sidecar starts with
     */
    ObjectNode configuration(int number, int sidecars, String listen, String discovery, List<String> peers,
            ObjectNode known, long seed) {
        ObjectNode root = JSON.createObjectNode().put("name", "n" + number).put("listen", listen)
                .put("discovery", discovery).put("seed", Long.toHexString(seed))
                .put("peer_listen", peers.get(number));
        ArrayNode peerNames = root.putArray("peers");
        peers.forEach(peerNames::add);
        root.putObject("limits").put("cores", 1.0).put("memory_mb", MEMORY_MB).put("sockets", descriptors);
        root.set("known", known);
        ObjectNode settings = root.putObject("settings").put("discovery", "automatic")
                .put("quantum", NANOS_PER_MS).put("rank", number).put("replicasOfMe", sidecars);
        settings.putArray("zones").add("a");
        settings.putArray("kinds").add("m");
        settings.putObject("caps").put("mayCancel", mayCancel).put("mayProbe", false).put("peers", true)
                .put("tryLimit", MAX_ATTEMPTS).put("connectTimeout", CONNECT_TIMEOUT_MS * NANOS_PER_MS)
                .put("connIdle", IDLE_TIMEOUT_MS * NANOS_PER_MS).put("retryAfter", true)
                .put("maxRetryAfter", 500 * NANOS_PER_MS);
        settings.putArray("parties")
                .add(JSON.createObjectNode().put("name", "acme").put("portion", 1.0).put("quotaRps", 10_000));
        settings.putObject("rules").put("answerSlack", 20 * NANOS_PER_MS)
                .put("stopSendingWithin", DRAIN_GRACE_MS * NANOS_PER_MS).put("coldShare", COLD_CAPACITY_SHARE)
                .put("rampTime", RAMP_MS * NANOS_PER_MS).put("overloadFactor", overloadFactor)
                .put("tipAfter", OVERLOAD_WINDOW_MS * NANOS_PER_MS).put("askWithin", 4_000 * NANOS_PER_MS);
        ArrayNode profiles = settings.putArray("profiles");
        for (RequestClass requestClass : RequestClass.values()) {
            long deadlineNanos = deadlineMs(requestClass) * NANOS_PER_MS;
            profiles.add(JSON.createObjectNode().put("name", requestClass.settingName())
                    .put("slo", deadlineNanos / 2).put("deadline", deadlineNanos).put("lateShare", 0.5)
                    .put("semantics", requestClass.semantics()).put("keyScope", "all")
                    .put("keyTtl", 60_000 * NANOS_PER_MS));
        }
        return root;
    }
}
