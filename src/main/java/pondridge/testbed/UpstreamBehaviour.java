package pondridge.testbed;

import java.util.Random;

/**
 * How upstreams treat requests, drawn for each request. All figures but the times are in parts of a thousand
 * requests; what is left of a thousand is served.
 *
 * @param error answered with 500
 * @param decline turned away unseen
 * @param reset the connection is reset instead of an answer
 * @param resetInAnswer the connection is reset within the answer
 * @param hang never answered
 * @param spoil answered with what is no proper response
 * @param surplus served, followed by a second answer some milliseconds later
 * @param unframed served with a body that ends with the connection
 * @param closeAfter served, and the connection closed although the answer does not say so
 * @param shortestMs shortest time to an answer
 * @param longestMs longest time to an answer
 */
record UpstreamBehaviour(int error, int decline, int reset, int resetInAnswer, int hang, int spoil,
        int surplus, int unframed, int closeAfter, int shortestMs, int longestMs) {
    static final UpstreamBehaviour SOUND = new UpstreamBehaviour(0, 0, 0, 0, 0, 0, 0, 0, 0, 2, 20);
    /** What goes wrong in the middle of trouble, beside one or two things that stand out. */
    static final UpstreamBehaviour TROUBLED =
            new UpstreamBehaviour(30, 30, 30, 20, 20, 20, 20, 30, 100, 2, 60);
    /** As SOUND, but each connection serves few requests: new ones are needed all the time. */
    static final UpstreamBehaviour CLOSING = new UpstreamBehaviour(0, 0, 0, 0, 0, 0, 0, 200, 0, 2, 20);
    /** Nothing is answered. */
    static final UpstreamBehaviour HUNG = new UpstreamBehaviour(0, 0, 0, 0, 1000, 0, 0, 0, 0, 2, 20);

    /** What becomes of one request. */
    enum Disposition {
        ERROR, DECLINE, RESET, RESET_IN_ANSWER, HANG, SPOIL, SURPLUS, UNFRAMED, CLOSE_AFTER, SERVE
    }

    Disposition draw(Random random) {
        int[] parts = {error, decline, reset, resetInAnswer, hang, spoil, surplus, unframed, closeAfter};
        int drawn = random.nextInt(1000);
        for (int i = 0; i < parts.length; i++) {
            drawn -= parts[i];
            if (drawn < 0) {
                return Disposition.values()[i];
            }
        }
        return Disposition.SERVE;
    }

    int serviceMs(Random random) {
        return shortestMs + random.nextInt(longestMs - shortestMs + 1);
    }
}
