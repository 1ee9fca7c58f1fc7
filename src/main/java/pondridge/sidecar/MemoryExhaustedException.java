package pondridge.sidecar;

/** Ends the decoding of a message whose headers have no room in the {@link MemoryBudget}. */
final class MemoryExhaustedException extends RuntimeException {
    private static final long serialVersionUID = 1;

    MemoryExhaustedException() {
        super("no memory for the message's headers", null, false, false);
    }
}
