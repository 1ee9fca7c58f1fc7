package pondridge.testbed;

/**
 * One violation of an invariant.
 *
 * @param detail the request, attempt or sidecar concerned, with its times, as the report shows it
 */
record Violation(Invariant invariant, String detail) {
    @Override
    public String toString() {
        return invariant + ": " + detail;
    }
}
