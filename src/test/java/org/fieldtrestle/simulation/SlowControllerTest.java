package org.fieldtrestle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Controllers whose processor is too small for what they are asked: every message is handled late.
 * The rules hold, and once there is less to do all jobs end.
 */
class SlowControllerTest {
  private static final int JOBS = 6;
  private static final long STEADY_MS = 30_000;

  /** A turn of so many milliseconds leaves a controller busy for most of the time. */
  private static final long SLOW_TURN_MS = 8;

  /** Some jobs run, and every turn of a controller begins to take long. */
  private static SimulatedCluster busyScene(long seed, int tasks, long runMs) {
    SimulatedCluster cluster = SimulatedCluster.builder().seed(seed).machines(12).start();
    for (int i = 0; i < JOBS; i++) {
      cluster.users.submit(
          "job-" + i,
          job -> {
            job.tasks(tasks);
            job.runMs(runMs);
          });
    }
    cluster.time.runUntil(STEADY_MS);
    cluster.labels().forEach(label -> cluster.faults.slowDown(label, SLOW_TURN_MS));
    return cluster;
  }

  private static SimulatedCluster busyScene(long seed) {
    return busyScene(seed, 10, 20_000);
  }

  private static void assertAllDone(SimulatedCluster cluster) {
    assertEquals(List.of(), cluster.invariants.violations());
    for (SimulatedJob job : cluster.jobs.values()) {
      String expected = cluster.users.hasCancelled(job.id()) ? "cancelled" : "done";
      assertEquals(expected, cluster.invariants.lastStageOf(job.id()), job.id());
    }
  }

  @Test
  void noTaskIsLostWhenTurnsAreSlow() {
    SimulatedCluster cluster = busyScene(41);
    int started = cluster.invariants.starts();
    cluster.time.runUntil(STEADY_MS + 250_000);
    assertAllDone(cluster);
    assertTrue(started > 0 && cluster.invariants.starts() <= JOBS * 10, "nothing ran again");
  }

  @Test
  void jobsEndWhenTurnsAreSlowAndALeaderFails() {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster cluster = busyScene(seed);
      cluster.faults.note(60_000);
      cluster.faults.kill("trestle-1", 30_000);
      cluster.time.after(5000, () -> cluster.users.cancel(cluster.jobs.get("job-2")));
      cluster.time.runUntil(STEADY_MS + 350_000);
      assertAllDone(cluster);
    }
  }

  @Test
  void jobsEndWhenTurnsAreSlowAndAnOutageOutlastsLeases() {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster cluster = busyScene(seed);
      cluster.faults.note(80_000);
      cluster.users.cancel(cluster.jobs.get("job-1"));
      cluster.time.after(500, () -> cluster.store.outage(50_000));
      cluster.time.runUntil(STEADY_MS + 400_000);
      assertAllDone(cluster);
    }
  }

  /**
   * It loses the key-value store and its peers, but not its workers, and stands still for a while.
   * What workers sent it before must not be answered by the time at which it came.
   */
  @Test
  void slowControllerAnswersNoHeartbeatPastItsLeaseAfterAPause() {
    for (long seed = 1; seed <= 3; seed++) {
      for (long stallMs : new long[] {4000, 12_000, 32_000}) {
        SimulatedCluster cluster = busyScene(seed, 8, 250_000);
        long cutMs = cluster.cancelMs * 3;
        cluster.faults.note(cutMs);
        cluster.faults.disconnect("trestle-0", cutMs, Link.STORE, Link.PEERS);
        cluster.time.after(
            1000, () -> cluster.users.cancelAt("trestle-1", cluster.jobs.get("job-3")));
        cluster.time.after(
            1500, () -> cluster.users.cancelAt("trestle-2", cluster.jobs.get("job-4")));
        cluster.time.after(2000, () -> cluster.faults.freeze("trestle-0", stallMs));
        cluster.time.runUntil(STEADY_MS + cutMs + 30_000);
        assertEquals(
            List.of(), cluster.invariants.violations(), "seed " + seed + ", stall " + stallMs);
        assertEquals(
            0,
            cluster.invariants.runningTasksOf("job-3")
                + cluster.invariants.runningTasksOf("job-4"));
      }
    }
  }

  @Test
  void noJobIsForgottenDuringAStormOfQueriesToSlowControllers() {
    SimulatedCluster cluster = busyScene(43);
    cluster.faults.note(40_000);
    for (int i = 0; i < 4000; i++) {
      String id = i % 2 == 0 ? "job-" + i % JOBS : "job-" + (1000 + i);
      cluster.time.after(i * 8L, () -> cluster.users.query(id));
    }
    cluster.time.runUntil(STEADY_MS + 20_000);
    assertTrue(
        cluster.labels().stream().anyMatch(label -> cluster.controller(label).lagMs() > 100),
        "they are behind");
    cluster.time.runUntil(STEADY_MS + 400_000);
    assertAllDone(cluster);
  }
}
