package pondridge.adapter;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pondridge.Balancer;
import pondridge.Balancer.ListUpdateType;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.Request;
import pondridge.Balancer.Upstream;
import pondridge.Balancer.UpstreamState;
import pondridge.Rules;
import pondridge.SettingsReader;

/**
 * Hands the events of a batch to the balancers that they name. Each simulated sidecar has a balancer of its
 * own; this class makes no decisions for them and passes nothing from one to another. The input defines
 * numbered upstream lists, which all balancers use.
 */
final class BatchDispatcher {
    private static final int MAX_LISTS = 16;
    /** Limits the memory reserved before the entries are read, as the count in the input may be wrong. */
    private static final int MAX_INITIAL_CAPACITY = 1024;
    private static final Outcome[] OUTCOMES = Outcome.values();
    private static final ListUpdateType[] LIST_UPDATE_TYPES = ListUpdateType.values();
    private static final UpstreamState[] UPSTREAM_STATES = UpstreamState.values();

    private final Map<Integer, Balancer> balancers = new HashMap<>();
    private final List<List<Upstream>> lists = new ArrayList<>();
    private final ReplyFrame replyFrame;

    BatchDispatcher(ReplyFrame replyFrame) {
        this.replyFrame = replyFrame;
        for (int i = 0; i < MAX_LISTS; i++) {
            lists.add(null);
        }
    }

    /** Handles all records of a frame's body; {@code now} is the time of their events, in nanoseconds. */
    void dispatchBatch(long now, long recordCount, FrameReader in) {
        for (long i = 0; i < recordCount; i++) {
            dispatchEvent(now, in.nextRecord(), in);
            in.endRecord();
        }
        if (!in.atEnd()) {
            throw new WireException("bytes left over after the last of " + recordCount + " records");
        }
    }

    private void dispatchEvent(long now, int eventCode, FrameReader in) {
        switch (eventCode) {
            case 1 -> provision(now, in);
            case 2 -> membership(now, in);
            case 3 -> submit(now, in);
            case 4 -> balancer(in).firstByte(now, in.u32(), in.u8(), in.upstreamId(), in.nanos("timeTaken"));
            case 5 -> balancer(in).attemptEnded(now, in.u32(), in.u8(), in.upstreamId(),
                    in.enumValue(OUTCOMES, in.u8(), "stateCode"), in.nanos("timeTaken"), in.u8() != 0,
                    in.loadReport());
            case 6 -> balancer(in).clientDisconnected(now, in.u32());
            case 7 -> balancer(in).timerFired(now, in.i64());
            case 8 -> balancer(in).probeResult(now, in.upstreamId(),
                    in.enumValue(OUTCOMES, in.u8(), "stateCode"), in.nanos("timeTaken"), in.loadReport());
            case 9 -> balancer(in).peerMessageReceived(now, in.u16(), in.bytes(in.u16()));
            // The sidecar has stopped; when it starts again, a provision record creates a new balancer.
            case 10 -> balancers.remove(in.u16());
            case 11 -> defineList(in);
            default -> throw new WireException("unknown event code " + eventCode + " at byte "
                    + in.recordStart());
        }
    }

    /** Reads a sidecar's number and returns its balancer. */
    private Balancer balancer(FrameReader in) {
        int sidecar = in.u16();
        Balancer balancer = balancers.get(sidecar);
        if (balancer == null) {
            throw new WireException("event for unknown instance " + sidecar + " at byte " + in.recordStart());
        }
        return balancer;
    }

    /** Creates and starts the balancer of a sidecar; it replaces an earlier one. */
    private void provision(long now, FrameReader in) {
        int sidecar = in.u16();
        long seed = in.i64();
        Balancer balancer = new Rules(new SettingsReader(in.text(in.u32())).settings(), seed,
                replyFrame.recordWriter(sidecar));
        balancers.put(sidecar, balancer);
        balancer.start(now);
    }

    /** Passes on an update of the upstream list; an earlier record has defined the list itself. */
    private void membership(long now, FrameReader in) {
        Balancer balancer = balancer(in);
        ListUpdateType updateType = in.enumValue(LIST_UPDATE_TYPES, in.u8(), "form");
        in.i64(); // a field that is not used
        long listNumber = in.u32();
        if (updateType == ListUpdateType.FAILED) {
            balancer.listUpdated(now, updateType, List.of());
            return;
        }
        if (listNumber >= MAX_LISTS || lists.get((int) listNumber) == null) {
            throw new WireException("unknown list number " + listNumber + " at byte " + in.recordStart());
        }
        balancer.listUpdated(now, updateType, lists.get((int) listNumber));
    }

    /**
     * Passes on a client's request, with a response reserve of 0. The bits of its flags: 1 if it has a cost
     * hint, 2 for a client retry, 4 for a write.
     */
    private void submit(long now, FrameReader in) {
        Balancer balancer = balancer(in);
        long id = in.u32();
        int classIndex = in.u8();
        int tenant = in.u16();
        long key = in.i64();
        long timeLeft = in.nanos("left");
        long costHint = in.nanos("costGuess");
        int flags = in.u8();
        balancer.requestArrived(now,
                new Request(id, classIndex, tenant, key, timeLeft, 0, (flags & 1) != 0 ? costHint : 0,
                        (flags & 2) != 0, (flags & 4) != 0));
    }

    /** Reads a numbered upstream list, which replaces an earlier one with the same number. */
    private void defineList(FrameReader in) {
        long listNumber = in.u32();
        if (listNumber >= MAX_LISTS) {
            throw new WireException("list number " + listNumber + " out of range at byte "
                    + in.recordStart());
        }
        long count = in.u32();
        List<Upstream> entries = new ArrayList<>((int) Math.min(count, MAX_INITIAL_CAPACITY));
        for (long i = 0; i < count; i++) {
            entries.add(new Upstream(in.upstreamId(), in.u8(), in.u16(), in.u16(),
                    in.enumValue(UPSTREAM_STATES, in.u8(), "status"), in.f32(), in.nanos("lastStart")));
        }
        lists.set((int) listNumber, entries);
    }
}
