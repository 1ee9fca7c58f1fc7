/**
 * Host for the simulator: reads frames of events from standard input, passes them to one balancer for each
 * simulated sidecar, and writes frames of the actions to standard output. Depends on {@code pondridge} and
 * the JDK only.
 *
 * <p>Start with {@link pondridge.adapter.Main}, which reads and writes the frames.
 */
package pondridge.adapter;
