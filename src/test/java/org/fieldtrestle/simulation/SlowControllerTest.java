package org.fieldtrestle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Controllers whose processors are too slow for their load, so that every message is handled late:
 * the invariants hold, and all jobs end once the load falls.
 */
class SlowControllerTest {
  private static final int JOBS = 6;
  private static final long SETTLED_MS = 30_000;

  /** Turns of the event loop that take this long keep a controller busy most of the time. */
  private static final long SLOW_TURN_MS = 8;

  /** Starts some jobs, and then slows down every turn of every controller. */
  private static SimulatedCluster startSlowCluster(long seed, int tasks, long runMs) {
    SimulatedCluster cluster = SimulatedCluster.builder().seed(seed).machines(12).start();
    for (int i = 0; i < JOBS; i++) {
      cluster.users.submit(
          "job-" + i,
          job -> {
            job.tasks(tasks);
            job.runMs(runMs);
          });
    }
    cluster.time.runUntil(SETTLED_MS);
    cluster.labels().forEach(label -> cluster.faults.slowDown(label, SLOW_TURN_MS));
    return cluster;
  }

  private static SimulatedCluster startSlowCluster(long seed) {
    return startSlowCluster(seed, 10, 20_000);
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
    SimulatedCluster cluster = startSlowCluster(41);
    int startsBefore = cluster.invariants.starts();
    cluster.time.runUntil(SETTLED_MS + 250_000);
    assertAllDone(cluster);
    assertTrue(
        startsBefore > 0 && cluster.invariants.starts() <= JOBS * 10, "no task was started again");
  }

  @Test
  void jobsEndWhenTurnsAreSlowAndALeaderFails() {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster cluster = startSlowCluster(seed);
      cluster.faults.recordFault(60_000);
      cluster.faults.kill("trestle-1", 30_000);
      cluster.time.after(5000, () -> cluster.users.cancel(cluster.jobs.get("job-2")));
      cluster.time.runUntil(SETTLED_MS + 350_000);
      assertAllDone(cluster);
    }
  }

  @Test
  void jobsEndWhenTurnsAreSlowAndAnOutageOutlastsLeases() {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster cluster = startSlowCluster(seed);
      cluster.faults.recordFault(80_000);
      cluster.users.cancel(cluster.jobs.get("job-1"));
      cluster.time.after(500, () -> cluster.store.startOutage(50_000));
      cluster.time.runUntil(SETTLED_MS + 400_000);
      assertAllDone(cluster);
    }
  }

  /**
   * The controller loses the key-value store and its peers, but not its workers, and freezes for a
   * while. Heartbeats that arrived before the freeze are handled after it; whether the controller
   * may still answer them must not be judged by the time of their arrival.
   */
  @Test
  void slowControllerAnswersNoHeartbeatPastItsLeaseAfterAPause() {
    for (long seed = 1; seed <= 3; seed++) {
      for (long freezeMs : new long[] {4000, 12_000, 32_000}) {
        SimulatedCluster cluster = startSlowCluster(seed, 8, 250_000);
        long disconnectedMs = cluster.cancellationTimeMs * 3;
        cluster.faults.recordFault(disconnectedMs);
        cluster.faults.disconnect("trestle-0", disconnectedMs, Link.STORE, Link.PEERS);
        cluster.time.after(
            1000, () -> cluster.users.cancelAt("trestle-1", cluster.jobs.get("job-3")));
        cluster.time.after(
            1500, () -> cluster.users.cancelAt("trestle-2", cluster.jobs.get("job-4")));
        cluster.time.after(2000, () -> cluster.faults.freeze("trestle-0", freezeMs));
        cluster.time.runUntil(SETTLED_MS + disconnectedMs + 30_000);
        assertEquals(
            List.of(), cluster.invariants.violations(), "seed " + seed + ", freeze ms " + freezeMs);
        assertEquals(
            0,
            cluster.invariants.runningTasksOf("job-3")
                + cluster.invariants.runningTasksOf("job-4"));
      }
    }
  }

  @Test
  void noJobIsForgottenDuringAStormOfQueriesToSlowControllers() {
    SimulatedCluster cluster = startSlowCluster(43);
    cluster.faults.recordFault(40_000);
    for (int i = 0; i < 4000; i++) {
      String id = i % 2 == 0 ? "job-" + i % JOBS : "job-" + (1000 + i);
      cluster.time.after(i * 8L, () -> cluster.users.query(id));
    }
    cluster.time.runUntil(SETTLED_MS + 20_000);
    assertTrue(
        cluster.labels().stream().anyMatch(label -> cluster.controller(label).lagMs() > 100),
        "controllers handle messages late");
    cluster.time.runUntil(SETTLED_MS + 400_000);
    assertAllDone(cluster);
  }
}
