/**
 * Host on real sockets: the sidecar process. It takes requests from its clients, reports them and the list of
 * upstreams to the balancer, and carries out the balancer's actions, all on one event loop thread. Depends on
 * {@code pondridge}, Netty for HTTP and sockets, and Jackson for the JSON of the configuration and discovery.
 *
 * <p>Start with {@link pondridge.sidecar.Main}, which wires the parts together, and then
 * {@code RequestDispatcher}, which connects them with the balancer.
 */
package pondridge.sidecar;
