package pondridge.testbed;

/** The classes of request in the testbed's settings, one for each effect that a class may have. */
enum RequestClass {
    /** Safe to repeat. */
    LOOK("repeatable"),
    /** Repeats are dropped by their key. */
    HOLD("by_key"),
    /** Unsafe to repeat. */
    BOOK("once");

    private final String semantics;

    RequestClass(String semantics) {
        this.semantics = semantics;
    }

    String settingName() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }

    String semantics() {
        return semantics;
    }
}
