package org.fieldtrestle.simulation;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When a controller that has just started accepts requests of users and workers. */
class ControllerStartTest {
  private static final long DOWN_FOR_LONG_MS = 1_000_000;
  private static final String LABEL = "trestle-0";
  private static final long LEASE_MS = 16_000;
  private static final long LISTENS_AT_LAST_MS = LEASE_MS / 4;

  /** More than clocks drift apart in that time. */
  private static final long DRIFT_MS = 10;

  private static SimulatedCluster stopped() {
    SimulatedCluster cluster =
        SimulatedCluster.builder().seed(1).machines(1).timing(2500, LEASE_MS, 46_000).start();
    cluster.time.runUntil(10_000);
    cluster.faults.kill(LABEL, DOWN_FOR_LONG_MS);
    return cluster;
  }

  private static boolean listensAfter(SimulatedCluster cluster, long ms) {
    cluster.time.runUntil(cluster.time.now() + ms);
    return cluster.network.serves(ClusterLayout.address(LABEL));
  }

  @Test
  void requestsAreRefusedUntilTheControllerMayAct() {
    SimulatedCluster cluster = stopped();
    cluster.store.outage(1000);
    cluster.start(LABEL);
    assertFalse(listensAfter(cluster, 999), "nothing can be served without the key-value store");
    assertTrue(
        listensAfter(cluster, LISTENS_AT_LAST_MS - 1500),
        "a controller that may act should listen");
  }

  @Test
  void requestsAreAcceptedAfterAQuarterOfALeaseWithoutTheStore() {
    SimulatedCluster cluster = stopped();
    cluster.store.outage(10 * LISTENS_AT_LAST_MS);
    cluster.start(LABEL);
    assertFalse(listensAfter(cluster, LISTENS_AT_LAST_MS - DRIFT_MS));
    assertTrue(listensAfter(cluster, 2 * DRIFT_MS));
  }
}
