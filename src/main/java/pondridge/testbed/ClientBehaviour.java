package pondridge.testbed;

import java.util.Random;

/** What a client does in one exchange. Some constants appear in reports under their own names. */
enum ClientBehaviour {
    /** Sends a request and waits for the response. */
    WELL_BEHAVED,
    /** Closes the connection, without a reset, before the response. */
    DISCONNECTS,
    /** Resets the connection before the response. */
    RESETS,
    /** Sends the request in pieces, with pauses between them. */
    WRITES_SLOWLY,
    /** Sends several requests at once on one connection and reads all responses. */
    PIPELINES,
    /** As PIPELINES, but closes the connection before the last response. */
    PIPELINES_AND_DISCONNECTS,
    /** Sends bytes that are not an HTTP request. */
    SENDS_RUBBISH,
    /** Sends a part of a request and keeps the connection open. */
    STOPS_MIDWAY,
    /** Connects and sends nothing. */
    SAYS_NOTHING;

    /** How many of a thousand exchanges have each behaviour, in the order of the constants. */
    private static final int[] PER_MILLE = {780, 40, 30, 40, 40, 30, 15, 15, 10};

    static ClientBehaviour draw(Random random) {
        int drawn = random.nextInt(1000);
        for (ClientBehaviour each : values()) {
            drawn -= PER_MILLE[each.ordinal()];
            if (drawn < 0) {
                return each;
            }
        }
        return WELL_BEHAVED;
    }
}
