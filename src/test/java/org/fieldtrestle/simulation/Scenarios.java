package org.fieldtrestle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;

/** Steps and assertions that tests of simulated clusters share. */
final class Scenarios {
  private static final long SEED = 23;

  private Scenarios() {}

  /** Starts a small cluster. */
  static SimulatedCluster startCluster(int machines) {
    return SimulatedCluster.builder().seed(SEED).machines(machines).start();
  }

  /** Submits a job of equal tasks. */
  static void submit(SimulatedCluster cluster, String id, int tasks, long runMs) {
    cluster.users.submit(id, job -> job.tasks(tasks).runMs(runMs));
  }

  /** Submits equal jobs with consecutive identifiers from {@code job-0}. */
  static void submitJobs(SimulatedCluster cluster, int count, int tasks, long runMs) {
    for (int i = 0; i < count; i++) {
      submit(cluster, "job-" + i, tasks, runMs);
    }
  }

  static void assertNoViolations(SimulatedCluster cluster) {
    assertEquals(List.of(), cluster.invariants.violations());
  }

  /** Checks that users were told that jobs are done. */
  static void assertDone(SimulatedCluster cluster, String... ids) {
    for (String id : ids) {
      assertEquals("done", cluster.invariants.lastStageOf(id), id);
    }
  }

  /** Checks that users were told that this number of jobs, from {@code job-0} on, are done. */
  static void assertJobsDone(SimulatedCluster cluster, int count) {
    for (int i = 0; i < count; i++) {
      assertDone(cluster, "job-" + i);
    }
  }

  /** Checks that a user was told that a job is cancelled. */
  static void assertCancelled(SimulatedCluster cluster, String id) {
    assertEquals("cancelled", cluster.invariants.lastStageOf(id), id);
  }
}
