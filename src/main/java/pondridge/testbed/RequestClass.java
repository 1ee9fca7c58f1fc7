package pondridge.testbed;

/** The request classes that the testbed configures, one for each value of {@code semantics}. */
enum RequestClass {
    /** May be processed more than once without harm. */
    LOOK("repeatable"),
    /** Upstreams drop repeats that carry the same idempotency key. */
    HOLD("by_key"),
    /** Must not be sent again once an upstream may have processed it. */
    BOOK("once");

    private final String semantics;

    RequestClass(String semantics) {
        this.semantics = semantics;
    }

    /** The name of the class in the configuration and in the header {@code Req-Kind}. */
    String settingName() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }

    /** The value of the setting {@code semantics}. */
    String semantics() {
        return semantics;
    }
}
