package pondridge.testbed;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * What the sidecars of one run are set to, in the form of the configuration file. Times in milliseconds.
 *
 * @param deadlinesMs the longest wait of each {@link RequestClass}, in their order
 * @param descriptors how many file descriptors a sidecar may hold
 * @param mayCancel whether attempts that are out may be withdrawn
 * @param overloadFactor how many times its present capacity makes a cold upstream fall
 */
record SidecarSettings(List<Integer> deadlinesMs, int descriptors, boolean mayCancel, double overloadFactor) {
    static final int TRY_LIMIT = 3;
    static final int DRAIN_GRACE_MS = 1_000;
    static final int RAMP_MS = 5_000;
    static final int TIP_AFTER_MS = 1_000;
    static final double COLD_SHARE = 0.3;
    /** The platform counts longer deadlines as this when it ends a sidecar. */
    private static final int LONGEST_COUNTED_MS = 3_000;
    private static final int KILL_SPARE_MS = 700;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int IDLE_MS = 4_000;
    private static final int MEMORY_MB = 192;
    private static final long NANOS_PER_MS = 1_000_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    int deadlineMs(RequestClass kind) {
        return deadlinesMs.get(kind.ordinal());
    }

    /** How long after SIGTERM the earliest SIGKILL comes. */
    int killAfterMs() {
        int longest = deadlinesMs.stream().mapToInt(Integer::intValue).max().orElseThrow();
        return Math.min(longest, LONGEST_COUNTED_MS) + KILL_SPARE_MS;
    }

    /** The configuration of one sidecar of a fleet. */
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
                .put("tryLimit", TRY_LIMIT).put("connectTimeout", CONNECT_TIMEOUT_MS * NANOS_PER_MS)
                .put("connIdle", IDLE_MS * NANOS_PER_MS).put("retryAfter", true)
                .put("maxRetryAfter", 500 * NANOS_PER_MS);
        settings.putArray("parties")
                .add(JSON.createObjectNode().put("name", "acme").put("portion", 1.0).put("quotaRps", 10_000));
        settings.putObject("rules").put("answerSlack", 20 * NANOS_PER_MS)
                .put("stopSendingWithin", DRAIN_GRACE_MS * NANOS_PER_MS).put("coldShare", COLD_SHARE)
                .put("rampTime", RAMP_MS * NANOS_PER_MS).put("overloadFactor", overloadFactor)
                .put("tipAfter", TIP_AFTER_MS * NANOS_PER_MS).put("askWithin", 4_000 * NANOS_PER_MS);
        ArrayNode profiles = settings.putArray("profiles");
        for (RequestClass kind : RequestClass.values()) {
            long deadlineNs = deadlineMs(kind) * NANOS_PER_MS;
            profiles.add(JSON.createObjectNode().put("name", kind.settingName()).put("slo", deadlineNs / 2)
                    .put("deadline", deadlineNs).put("lateShare", 0.5).put("semantics", kind.semantics())
                    .put("keyScope", "all").put("keyTtl", 60_000 * NANOS_PER_MS));
        }
        return root;
    }
}
