/**
 * Adapter to the simulator: reads frames of events, runs one balancer per simulated sidecar and writes frames
 * of their actions.
 */
package pondridge.adapter;
