package pondridge.testbed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pondridge.testbed.RequestRecord.End;
import pondridge.testbed.SidecarTrace.EndedConnection;
import pondridge.testbed.SidecarTrace.SentRequest;

/**
 * The times at which sidecars sent attempts and read the ends of client connections, as recorded inside their
 * processes. The times that clients and upstreams take are later on a busy machine, by what their own threads
 * and the proxies wait for the processor. All times are those of {@link System#nanoTime}.
 */
final class RecordedTimes {
    /** A request on one connection of one sidecar. */
    private record SendKey(int sidecar, String requestId, int port) { }

    /** A client's port on connections to one sidecar. */
    private record ClientKey(int sidecar, int port) { }

    private final Map<AttemptRecord, Long> sentAt = new HashMap<>();
    private final Map<ClientKey, List<Long>> endsRead = new HashMap<>();
    private final List<Violation> violations = new ArrayList<>();

    /** Matches the attempts in the history of a run with what was recorded in its sidecars. */
    RecordedTimes(RunHistory history, List<SidecarTrace.Recording> recordings) {
        Map<SendKey, List<Long>> sends = new HashMap<>();
        for (SidecarTrace.Recording recording : recordings) {
            int sidecar = recording.sidecar();
            for (SentRequest sent : recording.sentRequests()) {
                SendKey key = new SendKey(sidecar, sent.requestId(), sent.port());
                sends.computeIfAbsent(key, added -> new ArrayList<>()).add(sent.at());
            }
            for (EndedConnection ended : recording.endedConnections()) {
                endsRead.computeIfAbsent(new ClientKey(sidecar, ended.port()), added -> new ArrayList<>())
                        .add(ended.at());
            }
            if (!recording.isComplete()) {
                violations.add(new Violation(Invariant.RECORDED,
                        "no room in the trace of sidecar " + sidecar));
            }
        }
        history.requests().forEach(request -> match(request, history.attempts(request.id), sends));
    }

    /** On one connection attempts arrive in the order in which they were sent. */
    private void match(RequestRecord request, List<AttemptRecord> attempts, Map<SendKey, List<Long>> sends) {
        Map<SendKey, Integer> matched = new HashMap<>();
        for (AttemptRecord attempt : attempts) {
            SendKey key = new SendKey(request.sidecar, request.id, attempt.port());
            int index = matched.merge(key, 1, Integer::sum) - 1;
            List<Long> times = sends.getOrDefault(key, List.of());
            if (index < times.size()) {
                sentAt.put(attempt, times.get(index));
            } else {
                violations.add(new Violation(Invariant.RECORDED, "no time of " + attempt));
            }
        }
    }

    /** One violation for each attempt without a recorded time, and for each trace that is not complete. */
    List<Violation> violations() {
        return violations;
    }

    /** How much later than they were sent upstreams have read attempts, at most, and which one. */
    String describeDelays() {
        AttemptRecord latest = null;
        long maxDelay = 0;
        for (Map.Entry<AttemptRecord, Long> entry : sentAt.entrySet()) {
            long delay = entry.getKey().firstByteAt() - entry.getValue();
            if (delay > maxDelay) {
                latest = entry.getKey();
                maxDelay = delay;
            }
        }
        return "attempts were read up to " + maxDelay / 1_000_000 + " ms after they were sent"
                + (latest == null ? "" : " (" + latest.requestId() + ")");
    }

    /**
     * When the sidecar wrote the first bytes of an attempt; when the upstream read them if that is unknown.
     */
    long sentAt(AttemptRecord attempt) {
        return sentAt.getOrDefault(attempt, attempt.firstByteAt());
    }

    /**
     * When a request was over for its sidecar at the latest. If its client closed the connection, that is
     * when the close had returned, or when the sidecar read the end of the connection, if that was earlier.
     */
    long endedAt(RequestRecord request) {
        if (request.end != End.LEFT || request.closedAt == 0) {
            return request.endedAt;
        }
        long endRead = endsRead.getOrDefault(new ClientKey(request.sidecar, request.clientPort), List.of())
                .stream().filter(at -> at - request.sentAt > 0).min(Long::compare).orElse(request.closedAt);
        return Math.min(endRead, request.closedAt);
    }
}
