package org.fieldtrestle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
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
    SimulatedCluster cluster = new SimulatedCluster(new SplittableRandom(seed), 12);
    for (int i = 0; i < JOBS; i++) {
      cluster.submit(
          "job-" + i,
          job -> {
            job.tasks = tasks;
            job.runMs = runMs;
          });
    }
    cluster.time.runUntil(STEADY_MS);
    cluster.labels().forEach(label -> cluster.slowDown(label, SLOW_TURN_MS));
    return cluster;
  }

  private static SimulatedCluster busyScene(long seed) {
    return busyScene(seed, 10, 20_000);
  }

  private static void assertAllDone(SimulatedCluster cluster) {
    assertEquals(List.of(), cluster.rules.broken);
    for (SimulatedCluster.Job job : cluster.jobs.values()) {
      String expected = cluster.cancelledByUser.contains(job.id) ? "cancelled" : "done";
      assertEquals(expected, cluster.rules.lastOf(job.id), job.id);
    }
  }

  @Test
  void slowTurnsAloneLoseNoTask() {
    SimulatedCluster cluster = busyScene(41);
    int started = cluster.rules.starts;
    cluster.time.runUntil(STEADY_MS + 250_000);
    assertAllDone(cluster);
    assertTrue(started > 0 && cluster.rules.starts <= JOBS * 10, "nothing ran again");
  }

  @Test
  void slowTurnsAndAChangeOfLeaderKeepTheRules() {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster cluster = busyScene(seed);
      cluster.trouble(60_000);
      cluster.kill("trestle-1", 30_000);
      cluster.time.after(5000, () -> cluster.cancel(cluster.jobs.get("job-2")));
      cluster.time.runUntil(STEADY_MS + 350_000);
      assertAllDone(cluster);
    }
  }

  @Test
  void slowTurnsAndAnOutageThatOutlastsLeasesKeepTheRules() {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster cluster = busyScene(seed);
      cluster.trouble(80_000);
      cluster.cancel(cluster.jobs.get("job-1"));
      cluster.time.after(500, () -> cluster.state.outage(50_000));
      cluster.time.runUntil(STEADY_MS + 400_000);
      assertAllDone(cluster);
    }
  }

  /**
   * It loses the state service and its peers, but not its workers, and stands still for a while.
   * What workers sent it before must not be answered by the time at which it came.
   */
  @Test
  void aSlowControllerThatStalledAnswersNoReportPastItsLease() {
    for (long seed = 1; seed <= 3; seed++) {
      for (long stallMs : new long[] {4000, 12_000, 32_000}) {
        SimulatedCluster cluster = busyScene(seed, 8, 250_000);
        long cutMs = cluster.cancelMs * 3;
        cluster.trouble(cutMs);
        cluster.lose("trestle-0", cutMs, "state", "peers");
        cluster.time.after(1000, () -> cluster.cancelAt("trestle-1", cluster.jobs.get("job-3")));
        cluster.time.after(1500, () -> cluster.cancelAt("trestle-2", cluster.jobs.get("job-4")));
        cluster.time.after(2000, () -> cluster.freeze("trestle-0", stallMs));
        cluster.time.runUntil(STEADY_MS + cutMs + 30_000);
        assertEquals(List.of(), cluster.rules.broken, "seed " + seed + ", stall " + stallMs);
        assertEquals(0, cluster.rules.on("job-3") + cluster.rules.on("job-4"));
      }
    }
  }

  @Test
  void aStormOfQuestionsToSlowControllersForgetsNoJob() {
    SimulatedCluster cluster = busyScene(43);
    cluster.trouble(40_000);
    for (int i = 0; i < 4000; i++) {
      String id = i % 2 == 0 ? "job-" + i % JOBS : "job-" + (1000 + i);
      cluster.time.after(i * 8L, () -> cluster.ask(id));
    }
    cluster.time.runUntil(STEADY_MS + 20_000);
    assertTrue(
        cluster.labels().stream().anyMatch(label -> cluster.lagMs(label) > 100), "they are behind");
    cluster.time.runUntil(STEADY_MS + 400_000);
    assertAllDone(cluster);
  }
}
