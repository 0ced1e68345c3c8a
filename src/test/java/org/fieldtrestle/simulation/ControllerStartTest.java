package org.fieldtrestle.simulation;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
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
        new SimulatedCluster(new SplittableRandom(1), 1, 2500, LEASE_MS, 46_000);
    cluster.time.runUntil(10_000);
    cluster.kill(LABEL, DOWN_FOR_LONG_MS);
    return cluster;
  }

  private static boolean listensAfter(SimulatedCluster cluster, long ms) {
    cluster.time.runUntil(cluster.time.now() + ms);
    return cluster.net.serves(cluster.address(LABEL));
  }

  @Test
  void requestsAreRefusedUntilTheControllerActs() {
    SimulatedCluster cluster = stopped();
    cluster.state.outage(1000);
    cluster.start(LABEL);
    assertFalse(listensAfter(cluster, 999), "nothing can be served without the state service");
    assertTrue(listensAfter(cluster, LISTENS_AT_LAST_MS - 1500), "whoever acts should listen");
  }

  @Test
  void requestsAreAcceptedWhereActingTakesLong() {
    SimulatedCluster cluster = stopped();
    cluster.state.outage(10 * LISTENS_AT_LAST_MS);
    cluster.start(LABEL);
    assertFalse(listensAfter(cluster, LISTENS_AT_LAST_MS - DRIFT_MS));
    assertTrue(listensAfter(cluster, 2 * DRIFT_MS));
  }
}
