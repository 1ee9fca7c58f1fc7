package pondridge.testbed;

import java.util.Random;

/**
 * The mixture of ways in which a {@link StubUpstream} treats requests; one is drawn for each request. All
 * figures but the times are requests per thousand; the rest of the thousand is served normally.
 *
 * @param error gets a response with status 500
 * @param reject is rejected: the response promises that the request was not processed
 * @param reset the connection is reset instead of a response
 * @param resetMidResponse the connection is reset within the response
 * @param hang never gets a response
 * @param malformed gets a response whose header section is not valid HTTP
 * @param surplusResponse is served, and a second response follows some milliseconds later
 * @param unframed is served without a content length; the end of the connection ends the body
 * @param closeAfter is served, and the connection is closed although the response does not announce it
 * @param minServiceMs shortest time until the response, in milliseconds
 * @param maxServiceMs longest time until the response, in milliseconds
 */
record UpstreamBehaviour(int error, int reject, int reset, int resetMidResponse, int hang, int malformed,
        int surplusResponse, int unframed, int closeAfter, int minServiceMs, int maxServiceMs) {
    static final UpstreamBehaviour HEALTHY = new UpstreamBehaviour(0, 0, 0, 0, 0, 0, 0, 0, 0, 2, 20);
    /** Every type of failure at once, each for a small share of the requests, and slower responses. */
    static final UpstreamBehaviour FAULTY =
            new UpstreamBehaviour(30, 30, 30, 20, 20, 20, 20, 30, 100, 2, 60);
    /** As HEALTHY, but each connection serves few requests: new ones are opened all the time. */
    static final UpstreamBehaviour CLOSING_CONNECTIONS =
            new UpstreamBehaviour(0, 0, 0, 0, 0, 0, 0, 200, 0, 2, 20);
    /** No request gets a response. */
    static final UpstreamBehaviour HANGING = new UpstreamBehaviour(0, 0, 0, 0, 1000, 0, 0, 0, 0, 2, 20);

    /** What the upstream does with one request; in the order of the record's components. */
    enum Disposition {
        ERROR, REJECT, RESET, RESET_MID_RESPONSE, HANG, MALFORMED, SURPLUS_RESPONSE, UNFRAMED, CLOSE_AFTER,
        SERVE
    }

    Disposition draw(Random random) {
        int[] perMille = {error, reject, reset, resetMidResponse, hang, malformed, surplusResponse, unframed,
            closeAfter};
        int drawn = random.nextInt(1000);
        for (int i = 0; i < perMille.length; i++) {
            drawn -= perMille[i];
            if (drawn < 0) {
                return Disposition.values()[i];
            }
        }
        return Disposition.SERVE;
    }

    /** Draws the time until a response, in milliseconds. */
    int serviceMs(Random random) {
        return minServiceMs + random.nextInt(maxServiceMs - minServiceMs + 1);
    }
}
