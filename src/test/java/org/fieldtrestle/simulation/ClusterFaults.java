package org.fieldtrestle.simulation;

import java.util.HashMap;
import java.util.Map;

/**
 * Faults of controllers, and until when the faults that tests injected last. Faults of the network,
 * the key-value store, the cloud and single workers are injected there.
 */
final class ClusterFaults {
  /** How long after the freeze of its sending a controller stands still altogether. */
  private static final long DECIDES_FOR_MS = 100;

  private final SimulatedCluster cluster;
  private final SimulatedTime time;
  private final Map<String, Long> storeRefusedUntilMs = new HashMap<>();

  /** Until when what a controller sends and receives is lost, by its label and the link. */
  private final Map<String, Long> disconnectedUntilMs = new HashMap<>();

  private long endMs;

  ClusterFaults(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.time = cluster.time;
  }

  /** Notes that a fault lasts for some time, which the invariants allow for. */
  void note(long forMs) {
    endMs = Math.max(endMs, time.now() + forMs);
  }

  /** When the last noted fault ends. */
  long endMs() {
    return endMs;
  }

  /** Ends a controller process; another one starts after some time. */
  void kill(String label, long backAfterMs) {
    if (!cluster.controller(label).stop()) {
      return;
    }
    cluster.network.stop(ClusterLayout.address(label));
    time.after(backAfterMs, () -> cluster.start(label));
  }

  /** A controller does nothing for a while; then everything that waits reaches it at once. */
  void freeze(String label, long ms) {
    cluster.controller(label).freeze(ms);
  }

  /**
   * A controller stands still between deciding and sending: what it decides within the next tenth
   * of a second leaves only once it goes on.
   */
  void freezeBeforeSending(String label, long ms) {
    cluster.controller(label).holdMessages(ms);
    time.after(DECIDES_FOR_MS, () -> freeze(label, ms - DECIDES_FOR_MS));
  }

  /** From now on each turn of a controller's event loop takes some time. */
  void slowDown(String label, long turnMs) {
    cluster.controller(label).slowDown(turnMs);
  }

  /** For a while a controller and what is behind some links do not reach each other. */
  void disconnect(String label, long ms, Link... links) {
    for (Link link : links) {
      disconnectedUntilMs.put(label + " " + link, time.now() + ms);
    }
  }

  boolean isDisconnected(String label, Link link) {
    return time.now() < disconnectedUntilMs.getOrDefault(label + " " + link, 0L);
  }

  /** For a while the key-value store refuses all that one controller asks. */
  void refuseStoreRequests(String label, long ms) {
    storeRefusedUntilMs.put(label, time.now() + ms);
  }

  /** For how long the key-value store goes on refusing a controller; 0 if it does not. */
  long remainingStoreRefusalMs(String label) {
    return Math.max(0, storeRefusedUntilMs.getOrDefault(label, 0L) - time.now());
  }
}
