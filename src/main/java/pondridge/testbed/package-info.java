/**
 * The project's testbed: runs real sidecar processes over loopback between load generators and stub
 * upstreams, injects seeded faults of system calls, connections, upstreams, discovery and signals, and checks
 * invariants on what was recorded. Depends on the built jar and on the library from {@code src/main/c}, but
 * on no other package of the project. It uses picocli for its command line, HdrHistogram for its report, and
 * Jackson.
 *
 * <p>Start with {@code Soak}, which is one randomized run; {@link pondridge.testbed.Main} is the command
 * line.
 */
package pondridge.testbed;
