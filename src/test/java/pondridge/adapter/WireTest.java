package pondridge.adapter;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.Actions;
import pondridge.Balancer.FailureReason;
import pondridge.Balancer.Semantics;
import pondridge.Balancer.Settings;
import pondridge.SettingsReader;

/** The wire format: event frames in, action frames out, errors for malformed input. */
class WireTest {
    /** A sidecar's settings; {@code brand.newKey} stands for a key that this version does not know. */
    static final String SETTINGS = String.join("\n",
            "caps.mayCancel=true", "caps.tryLimit=3", "caps.parallelTries=true", "brand.newKey=what,ever",
            "discovery=subscribe", "profiles.count=1", "profiles.0.deadline=1000000000",
            "profiles.0.slo=500000000", "profiles.0.semantics=once", "profiles.0.worth=2.5",
            "parties.count=1", "parties.0.portion=1.0", "parties.0.quotaRps=50", "quantum=5000000", "rank=1",
            "replicasOfMe=3", "report.fields=rif,lat_ms", "rules.answerSlack=20000000",
            "rules.coldShare=0.3", "rules.overloadFactor=3.0", "rules.rampTime=8000000000",
            "rules.stopSendingWithin=250000000", "rules.tipAfter=1500000000");

    /** Builds a frame of events from the documented layout, independent of the code under test. */
    static final class FrameBuilder {
        private final ByteBuffer body = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
        private int recordCount;
        private int lengthPosition;

        /** Begins a record; its length is 0 until {@link #endRecord}. */
        FrameBuilder record(int eventCode) {
            body.put((byte) eventCode);
            lengthPosition = body.position();
            body.putInt(0);
            recordCount++;
            return this;
        }

        FrameBuilder endRecord() {
            body.putInt(lengthPosition, body.position() - lengthPosition - 4);
            return this;
        }

        byte[] build(long now) {
            ByteBuffer out = ByteBuffer.allocate(16 + body.position()).order(ByteOrder.LITTLE_ENDIAN);
            out.putLong(now).putInt(16 + body.position()).putInt(recordCount);
            out.put(body.array(), 0, body.position());
            return out.array();
        }

        FrameBuilder provision(int sidecar, String settings) {
            byte[] text = settings.getBytes(StandardCharsets.UTF_8);
            record(1).body.putShort((short) sidecar).putLong(42).putInt(text.length).put(text);
            return endRecord();
        }

        FrameBuilder defineList(int listNumber, int... addresses) {
            record(11).body.putInt(listNumber).putInt(addresses.length);
            for (int address : addresses) {
                body.putInt(address).putShort((short) 80).put((byte) 0).putShort((short) 0)
                        .putShort((short) 0).put((byte) 1).putFloat(1).putLong(0);
            }
            return endRecord();
        }

        FrameBuilder membership(int sidecar, int form, int listNumber) {
            record(2).body.putShort((short) sidecar).put((byte) form).putLong(1).putInt(listNumber);
            return endRecord();
        }

        FrameBuilder submit(int sidecar, int requestId) {
            record(3).body.putShort((short) sidecar).putInt(requestId).put((byte) 0).putShort((short) 0)
                    .putLong(0).putLong(1_000_000_000L).putLong(0).put((byte) 0);
            return endRecord();
        }
    }

    static byte[] concatenate(byte[]... frames) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] frame : frames) {
            all.writeBytes(frame);
        }
        return all.toByteArray();
    }

    private static byte[] runAdapter(byte[]... frames) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Main.run(new ByteArrayInputStream(concatenate(frames)), out);
        return out.toByteArray();
    }

    private static void assertRejected(String expectedText, byte[]... frames) {
        WireException e = assertThrows(WireException.class, () -> runAdapter(frames));
        assertTrue(e.getMessage().contains(expectedText), e.getMessage());
    }

    @Test
    void emptyBatchGetsAnEmptyReply() throws IOException {
        assertArrayEquals(new byte[] {0, 0, 0, 0, 8, 0, 0, 0}, runAdapter(new FrameBuilder().build(5)));
        assertEquals(0, runAdapter().length);
    }

    @Test
    void requestIsSentToTheListedUpstream() throws IOException {
        byte[] reply = runAdapter(new FrameBuilder().provision(3, SETTINGS).defineList(0, 0x0100_000a)
                .membership(3, 2, 0).submit(3, 0xf0000001).build(1_000_000_000L));
        ByteBuffer in = ByteBuffer.wrap(reply).order(ByteOrder.LITTLE_ENDIAN);
        assertEquals(reply.length, in.getInt(4));
        in.position(8);
        assertEquals(11, in.get(), "subscribes");
        in.position(in.position() + 4 + 3);
        assertEquals(5, in.get(), "sets a timer");
        in.position(in.position() + 4 + 18);
        assertEquals(1, in.get(), "sends");
        assertEquals(20, in.getInt());
        assertEquals(3, in.getShort());
        assertEquals(0xf0000001, in.getInt());
        assertEquals(0x0100_000a, in.getInt());
        assertEquals(80, in.getShort());
    }

    @Test
    void listUpdateUsesTheLatestListOfItsNumber() throws IOException {
        byte[] reply = runAdapter(new FrameBuilder().provision(1, SETTINGS).defineList(0, 7)
                .membership(1, 2, 0).defineList(0, 8).membership(1, 1, 0).submit(1, 9).build(1_000_000_000L));
        String hex = java.util.HexFormat.of().formatHex(reply);
        // Request 9 is sent to address 8, port 80.
        assertTrue(hex.contains("09000000" + "08000000" + "5000"), hex);
    }

    @Test
    void sidecarCanRestartWithinABatch() throws IOException {
        FrameBuilder frame = new FrameBuilder().provision(1, SETTINGS).defineList(0, 7)
                .membership(1, 2, 0).submit(1, 9);
        frame.record(10).body.putShort((short) 1);
        frame.endRecord().provision(1, SETTINGS).membership(1, 2, 0);
        assertTrue(runAdapter(frame.build(1_000_000_000L)).length > 8);
    }

    @Test
    void malformedFramesAreReported() {
        assertRejected("header cut short", new byte[5]);
        byte[] complete = new FrameBuilder().provision(1, SETTINGS).build(1);
        assertRejected("ends after", java.util.Arrays.copyOf(complete, complete.length - 3));
        assertRejected("unknown event code 99", new FrameBuilder().record(99).endRecord().build(1));
        assertRejected("unknown instance 5", new FrameBuilder().submit(5, 1).build(1));
        assertRejected("unknown list number 3",
                new FrameBuilder().provision(1, SETTINGS).membership(1, 1, 3).build(1));
        assertRejected("form 9 out of range",
                new FrameBuilder().provision(1, SETTINGS).defineList(0).membership(1, 9, 0).build(1));
        assertRejected("field cut short",
                new FrameBuilder().provision(1, SETTINGS).record(6).endRecord().build(1));
    }

    @Test
    void settingsAreReadAndInvalidOnesReported() {
        Settings settings = new SettingsReader(SETTINGS).settings();
        assertEquals(Semantics.ONCE, settings.classes().get(0).semantics());
        assertEquals(2.5, settings.classes().get(0).value());
        assertEquals(2, settings.reportFields().size());
        assertEquals(50, settings.tenants().get(0).quotaPerSecond());
        assertRejected("setting missing: rules.rampTime",
                new FrameBuilder().provision(1, SETTINGS.replace("rules.rampTime", "x")).build(1));
        assertRejected("not a number",
                new FrameBuilder().provision(1, SETTINGS.replace("slo=5", "slo=five")).build(1));
        assertRejected("cold share",
                new FrameBuilder().provision(1, SETTINGS.replace("coldShare=0.3", "coldShare=7")).build(1));
    }

    @Test
    void actionRecordsHaveTheirCodesAndLengths() throws IOException {
        ReplyFrame replyFrame = new ReplyFrame();
        Actions actions = replyFrame.recordWriter(2);
        actions.refuse(1, 5, FailureReason.SHED);
        actions.fail(1, FailureReason.DEADLINE);
        actions.cancel(1, 3);
        actions.probe(0x0000_0001_0050L);
        actions.closeIdleConnections(1);
        actions.sendToPeer(Actions.ALL_PEERS, new byte[] {9});
        actions.log("hi");
        actions.fetchList();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        replyFrame.writeTo(out);
        ByteBuffer in = ByteBuffer.wrap(out.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
        assertEquals(8, in.getInt());
        assertEquals(out.size(), in.getInt());
        int[] codes = {2, 3, 4, 6, 7, 8, 9, 12};
        int[] lengths = {14, 6, 7, 8, 8, 7, 6, 2};
        for (int i = 0; i < codes.length; i++) {
            assertEquals(codes[i], in.get());
            assertEquals(lengths[i], in.getInt());
            assertEquals(2, in.getShort());
            in.position(in.position() + lengths[i] - 2);
        }
        assertEquals(0, in.remaining());
    }
}
