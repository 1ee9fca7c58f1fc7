/**
 * The load balancer of one sidecar: decides which upstream gets each attempt, which requests are retried,
 * queued or shed, and which upstreams are ejected. It does no I/O, reads no clock, and depends only on the
 * JDK.
 *
 * <p>Start with {@link pondridge.Balancer}, the interface between the balancer and its host.
 * {@link pondridge.Rules} implements it, and {@link pondridge.SettingsReader} reads its settings. Hosts are
 * {@code pondridge.sidecar} and {@code pondridge.adapter}.
 */
package pondridge;
