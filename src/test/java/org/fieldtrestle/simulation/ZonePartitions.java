package org.fieldtrestle.simulation;

import java.util.HashMap;
import java.util.Map;

/** The zones of the servers of a simulated network, and which zones are cut off from each other. */
final class ZonePartitions {
  private final SimulatedTime time;
  private final Map<String, String> zones = new HashMap<>();
  private final Map<String, Long> partitionedUntilMs = new HashMap<>();

  ZonePartitions(SimulatedTime time) {
    this.time = time;
  }

  /** Sets the zone of the server at an address. */
  void place(String address, String zone) {
    zones.put(address, zone);
  }

  /** Cuts the connection between two zones for some time. */
  void partition(String zone, String other, long durationMs) {
    partitionedUntilMs.put(zone + "|" + other, time.nowMs() + durationMs);
    partitionedUntilMs.put(other + "|" + zone, time.nowMs() + durationMs);
  }

  /** Returns for how long a zone will be cut off from the server at an address; 0 if it is not. */
  long remainingMs(String fromZone, String address) {
    String to = zones.getOrDefault(address, "");
    return Math.max(0, partitionedUntilMs.getOrDefault(fromZone + "|" + to, 0L) - time.nowMs());
  }
}
