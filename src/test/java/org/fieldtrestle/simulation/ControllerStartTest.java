package org.fieldtrestle.simulation;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * A newly started controller accepts requests of users and workers once it may act, or after a
 * quarter of a lease if it cannot reach the key-value store.
 */
class ControllerStartTest {
  /** Longer than any of the tests runs. */
  private static final long DOWNTIME_MS = 1_000_000;

  private static final String LABEL = "trestle-0";
  private static final long LEASE_MS = 16_000;

  /** When a controller listens at the latest, even if it cannot reach the key-value store. */
  private static final long LISTENS_AFTER_MS = LEASE_MS / 4;

  /** More than clocks drift apart in a quarter of a lease. */
  private static final long DRIFT_MS = 10;

  private static SimulatedCluster startWithStoppedController() {
    SimulatedCluster cluster =
        SimulatedCluster.builder().seed(1).machines(1).timing(2500, LEASE_MS, 46_000).start();
    cluster.time.runUntil(10_000);
    cluster.faults.kill(LABEL, DOWNTIME_MS);
    return cluster;
  }

  private static boolean listensAfter(SimulatedCluster cluster, long ms) {
    cluster.time.runUntil(cluster.time.nowMs() + ms);
    return cluster.network.serves(ClusterLayout.address(LABEL));
  }

  @Test
  void requestsAreRefusedUntilTheControllerMayAct() {
    SimulatedCluster cluster = startWithStoppedController();
    cluster.store.startOutage(1000);
    cluster.start(LABEL);
    assertFalse(
        listensAfter(cluster, 999),
        "a controller cannot serve requests without the key-value store");
    assertTrue(
        listensAfter(cluster, LISTENS_AFTER_MS - 1500), "a controller that may act should listen");
  }

  @Test
  void requestsAreAcceptedAfterAQuarterOfALeaseWithoutTheStore() {
    SimulatedCluster cluster = startWithStoppedController();
    cluster.store.startOutage(10 * LISTENS_AFTER_MS);
    cluster.start(LABEL);
    assertFalse(listensAfter(cluster, LISTENS_AFTER_MS - DRIFT_MS));
    assertTrue(listensAfter(cluster, 2 * DRIFT_MS));
  }
}
