package pondridge.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import pondridge.Balancer.ListUpdateType;
import pondridge.Balancer.UpstreamState;

/**
 * HTTP client of the discovery service. It watches the upstream list for changes or fetches the whole list
 * once. In automatic mode it keeps a watch open by itself and reconnects after a failure; otherwise the
 * balancer starts each watch and fetch, and is notified of each failure.
 *
 * <p>Used by {@link RequestDispatcher} on the event loop only; the listener is called on it, too.
 */
final class DiscoveryClient implements DiscoveryCall.Listener {
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /**
     * Delay before a failed watch is opened again, doubled after each failure. It can be this short because
     * the discovery agent runs on the same machine and a call to it costs nothing.
     */
    private static final long MIN_RETRY_DELAY_MS = 50;
    /** Once discovery is back, an upstream that drains may get attempts for 0.3 s. */
    private static final long MAX_RETRY_DELAY_MS = 150;

    /**
     * One upstream as discovery lists it, still with discovery's names of upstream, zone and model.
     *
     * @param startedAtMs wall-clock time of the upstream's last start in milliseconds, or 0 for long ago
     */
    record ListEntry(String uid, InetSocketAddress endpoint, String zone, String model, int cell,
            UpstreamState state, float weight, long startedAtMs) {

        /** Parses an entry; returns null and logs the entry if it is invalid. */
        private static ListEntry of(JsonNode node) {
            String uid = node.path("uid").asText("");
            UpstreamState state = switch (node.path("state").asText()) {
                case "SERVING" -> UpstreamState.READY;
                case "DRAINING" -> UpstreamState.DRAINING;
                case "DELETED" -> UpstreamState.GONE;
                default -> null;
            };
            InetSocketAddress endpoint = Config.parseAddress(node.path("endpoint").asText(""));
            if (uid.isEmpty() || state == null || endpoint == null && state != UpstreamState.GONE) {
                System.err.println("discovery: entry passed over: " + node);
                return null;
            }
            return new ListEntry(uid, endpoint, node.path("az").asText(""), node.path("model").asText(""),
                    node.path("pod_group").asInt(), state, (float) node.path("capacity_hint").asDouble(1),
                    node.path("boot_ms").asLong());
        }
    }

    /**
     * The whole upstream list, or a change of it.
     *
     * @param invalidUids uids of the entries that could not be parsed; the empty string stands for an entry
     *     whose uid could not be read either
     */
    record UpstreamList(long revision, boolean full, List<ListEntry> entries, Set<String> invalidUids) {
        static final UpstreamList NONE = new UpstreamList(0, true, List.of(), Set.of());

        static UpstreamList of(JsonNode node) {
            List<ListEntry> entries = new ArrayList<>();
            Set<String> invalidUids = new HashSet<>();
            for (JsonNode target : node.path("targets")) {
                ListEntry entry = ListEntry.of(target);
                if (entry != null) {
                    entries.add(entry);
                } else {
                    invalidUids.add(target.path("uid").asText(""));
                }
            }
            return new UpstreamList(node.path("rev").asLong(), node.path("all").asBoolean(), entries,
                    invalidUids);
        }
    }

    private final EventLoop loop;
    private final Dialer dialer;
    private InetSocketAddress address;
    private final BiConsumer<ListUpdateType, List<ListEntry>> listener;
    private final List<ListEntry> cachedEntries;
    /** Whether discovery has responded to a call; before that, the cached list may be out of date. */
    private boolean everResponded;
    /** The last valid entry of each listed upstream, by uid. */
    private final Map<String, ListEntry> lastValidEntries = new HashMap<>();
    private long revision;
    /**
     * The open watches. While the latest one is silent another is opened beside it; the first that sends a
     * line stays, and the others are closed.
     */
    private final Set<DiscoveryCall> watches = new HashSet<>();
    /** The watch that was opened last, unless it has failed; else null. */
    private DiscoveryCall latestWatch;
    /** The open watch that has sent a line, or null. */
    private DiscoveryCall respondedWatch;
    /** Opens a failed watch again; null if that is not to happen. */
    private Future<?> reopenTimer;
    /** Whether a watch is to be open; one that has failed is opened again by this client or its user. */
    private boolean watchWanted;
    /** Whether a failed watch is opened again automatically. */
    private boolean keepWatchOpen;
    private long retryDelayMs = MIN_RETRY_DELAY_MS;

    /**
     * Creates a client that opens no connection yet.
     *
     * @param cachedList the list from the configuration, which counts as the last one received. An upstream
     *     may have drained since, so that the listener gets it only when discovery has responded
     * @param listener called on the event loop with the cached list and then the first response, with each
     *     later list or change of it, and with {@link ListUpdateType#FAILED} once for each call that failed
     *     and is not retried automatically
     */
    DiscoveryClient(EventLoop loop, InetSocketAddress address, UpstreamList cachedList,
            BiConsumer<ListUpdateType, List<ListEntry>> listener) {
        this.loop = loop;
        this.dialer = new Dialer(loop, CONNECT_TIMEOUT_MS);
        this.address = address;
        this.revision = cachedList.revision();
        this.cachedEntries = cachedList.entries();
        applyUpdate(cachedList);
        this.listener = listener;
    }

    /**
     * Takes over a list or a change of it, and returns the entries that the listener gets. For an invalid
     * entry of a whole list, the last valid entry of the same uid stays in use; upstreams that a whole list
     * does not mention are gone. An invalid entry without a readable uid may stand for any upstream that the
     * list does not mention, so that all of those are kept.
     */
    private List<ListEntry> applyUpdate(UpstreamList update) {
        List<ListEntry> entries = new ArrayList<>(update.entries());
        if (update.full()) {
            Map<String, ListEntry> previous = new HashMap<>(lastValidEntries);
            entries.forEach(entry -> previous.remove(entry.uid()));
            if (!update.invalidUids().contains("")) {
                previous.keySet().retainAll(update.invalidUids());
            }
            entries.addAll(previous.values());
            lastValidEntries.clear();
        }
        for (ListEntry entry : entries) {
            if (entry.state() == UpstreamState.GONE) {
                lastValidEntries.remove(entry.uid());
            } else {
                lastValidEntries.put(entry.uid(), entry);
            }
        }
        return entries;
    }

    /** Opens a watch, and opens it again automatically after each failure. */
    void keepWatchOpen() {
        keepWatchOpen = true;
        watch(true);
    }

    /** Closes the current watches, if any; if {@code enabled}, opens one from the last known revision on. */
    void watch(boolean enabled) {
        watchWanted = enabled;
        closeWatchesExcept(null);
        if (enabled) {
            openWatch();
        }
    }

    private void openWatch() {
        latestWatch = DiscoveryCall.watch(loop, address, revision, this);
        watches.add(latestWatch);
        latestWatch.open(dialer);
    }

    private void closeWatchesExcept(DiscoveryCall remaining) {
        for (DiscoveryCall watch : watches) {
            if (watch != remaining) {
                watch.close();
            }
        }
        watches.removeIf(watch -> watch != remaining);
        latestWatch = remaining;
        respondedWatch = remaining;
        if (reopenTimer != null) {
            reopenTimer.cancel(false);
            reopenTimer = null;
        }
    }

    /**
     * Uses another address from now on and keeps the last known revision. If a watch is open, or is to be
     * opened again after a failure, one is opened there at once.
     */
    void changeAddress(InetSocketAddress newAddress) {
        address = newAddress;
        retryDelayMs = MIN_RETRY_DELAY_MS;
        if (watchWanted) {
            watch(true);
        }
    }

    /** Fetches the whole list once. */
    void fetch() {
        DiscoveryCall.fetch(loop, address, this).open(dialer);
    }

    @Override
    public void unchanged(DiscoveryCall call) {
        boolean firstLine = call != respondedWatch;
        responseReceived(call);
        if (firstLine) {
            listener.accept(ListUpdateType.DELTA, List.of());
        }
    }

    @Override
    public void updateReceived(DiscoveryCall call, UpstreamList update) {
        revision = update.revision();
        responseReceived(call);
        listener.accept(update.full() ? ListUpdateType.FULL : ListUpdateType.DELTA, applyUpdate(update));
    }

    private void responseReceived(DiscoveryCall call) {
        if (watches.contains(call)) {
            closeWatchesExcept(call);
        }
        retryDelayMs = MIN_RETRY_DELAY_MS;
        if (!everResponded) {
            everResponded = true;
            listener.accept(ListUpdateType.CACHED, cachedEntries);
        }
    }

    /** The silent watch stays open beside the new one, since discovery may only be slow. */
    @Override
    public void silent(DiscoveryCall call) {
        if (call == latestWatch) {
            if (watches.size() == 1) {
                System.err.println("discovery: watch at " + address + " silent, another is opened");
            }
            openWatch();
        }
    }

    /** Opens a failed watch again, or reports the failure, unless a later watch has been opened. */
    @Override
    public void failed(DiscoveryCall call) {
        boolean isWatch = watches.remove(call);
        if (call == respondedWatch) {
            respondedWatch = null;
        }
        if (isWatch && call != latestWatch) {
            return;
        }
        if (isWatch) {
            latestWatch = null;
        }
        if (isWatch && keepWatchOpen) {
            reopenWatchLater();
        } else {
            listener.accept(ListUpdateType.FAILED, List.of());
        }
    }

    /** The last known list stays in use meanwhile. Of failures in a row, only the first is logged. */
    private void reopenWatchLater() {
        if (retryDelayMs == MIN_RETRY_DELAY_MS) {
            System.err.println("discovery: watch at " + address + " broken, rev " + revision + " holds");
        }
        reopenTimer = loop.schedule(() -> {
            reopenTimer = null;
            openWatch();
        }, retryDelayMs, TimeUnit.MILLISECONDS);
        retryDelayMs = Math.min(2 * retryDelayMs, MAX_RETRY_DELAY_MS);
    }

    /** For the log. */
    @Override
    public String toString() {
        return "rev " + revision + (everResponded ? "" : " not confirmed yet")
                + (respondedWatch == null ? ", no watch" : "");
    }
}
