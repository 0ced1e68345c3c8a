package org.fieldtrestle.rehearsal;

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

  private static Scene stopped() {
    Scene scene = new Scene(new SplittableRandom(1), 1, 2500, LEASE_MS, 46_000);
    scene.world.runUntil(10_000);
    scene.kill(LABEL, DOWN_FOR_LONG_MS);
    return scene;
  }

  private static boolean listensAfter(Scene scene, long ms) {
    scene.world.runUntil(scene.world.now() + ms);
    return scene.net.serves(scene.address(LABEL));
  }

  @Test
  void requestsAreRefusedUntilTheControllerActs() {
    Scene scene = stopped();
    scene.state.outage(1000);
    scene.start(LABEL);
    assertFalse(listensAfter(scene, 999), "nothing can be served without the state service");
    assertTrue(listensAfter(scene, LISTENS_AT_LAST_MS - 1500), "whoever acts should listen");
  }

  @Test
  void requestsAreAcceptedWhereActingTakesLong() {
    Scene scene = stopped();
    scene.state.outage(10 * LISTENS_AT_LAST_MS);
    scene.start(LABEL);
    assertFalse(listensAfter(scene, LISTENS_AT_LAST_MS - DRIFT_MS));
    assertTrue(listensAfter(scene, 2 * DRIFT_MS));
  }
}
