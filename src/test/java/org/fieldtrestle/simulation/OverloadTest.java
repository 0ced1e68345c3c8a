package org.fieldtrestle.simulation;

import static org.fieldtrestle.simulation.Scenarios.assertDone;
import static org.fieldtrestle.simulation.Scenarios.assertNoViolations;
import static org.fieldtrestle.simulation.Scenarios.startCluster;
import static org.fieldtrestle.simulation.Scenarios.submit;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Under more work or queries than a small cluster can handle, no job is starved or forgotten. */
class OverloadTest {
  @Test
  void largestJobBeginsWithinFourMinutesDuringABurstOfUrgentJobs() {
    SimulatedCluster cluster = startCluster(4);
    submit(cluster, "job-0", 10, 2500);
    cluster.time.runUntil(40_000);
    // More urgent work than the whole fleet can run, for longer than four minutes.
    for (int i = 1; i < 160; i++) {
      int number = i;
      cluster.time.after(
          i * 2000L,
          () ->
              cluster.users.submit(
                  "job-" + number,
                  job -> {
                    job.tasks(24);
                    job.cpus(4);
                    job.runMs(2900);
                  }));
    }
    cluster.time.after(20_000, () -> submit(cluster, "job-900", 60, 20_000));
    cluster.time.runUntil(60_000 + 240_000);
    assertNoViolations(cluster);
    assertTrue(
        cluster.invariants.hasStarted("job-900"), "the largest job begins despite the burst");
  }

  @Test
  void longWaitingJobPreemptsNoTaskOfItsOwnPriority() {
    SimulatedCluster cluster = startCluster(4);
    submit(cluster, "job-1", 16, 300_000);
    cluster.time.runUntil(25_000);
    assertEquals(16, cluster.invariants.starts(), "the fleet is full");
    // The job has so many tasks that the first of them outscores enough of the waiting tasks to be
    // eligible for preempting running ones.
    submit(cluster, "job-2", 90, 10_000);
    cluster.time.runUntil(150_000);
    assertNoViolations(cluster);
    assertEquals(16, cluster.invariants.starts(), "no task was stopped and started again");
    assertFalse(cluster.invariants.hasStarted("job-2"), "the second job waits for room");
  }

  @Test
  void submissionsAreAcceptedInTimeDuringAStormOfQueries() {
    SimulatedCluster cluster = startCluster(12);
    submit(cluster, "job-1", 4, 3000);
    cluster.time.runUntil(40_000);
    assertDone(cluster, "job-1");
    // After a restart, controllers do not remember how jobs ended.
    cluster.labels().forEach(label -> cluster.faults.kill(label, 300));
    cluster.time.runUntil(50_000);
    // Hundreds of queries a second, most of them about jobs that nobody submitted.
    for (int i = 0; i < 8000; i++) {
      String id = i % 5 == 0 ? "job-1" : "job-" + (100_000 + i);
      cluster.time.after(i * 3L, () -> cluster.users.query(id));
    }
    for (int i = 0; i < 30; i++) {
      int number = 10 + i;
      cluster.time.after(4000 + i * 300L, () -> submit(cluster, "job-" + number, 2, 2500));
      cluster.time.after(
          4000 + i * 300L + 900,
          () ->
              assertTrue(
                  cluster.invariants.isAccepted("job-" + number), "accepted in time: " + number));
    }
    cluster.time.runUntil(140_000);
    assertNoViolations(cluster);
    for (int i = 0; i < 30; i++) {
      assertDone(cluster, "job-" + (10 + i));
    }
  }

  /**
   * When only a quarter of a controller's requests could be reads of single jobs, jobs were
   * forgotten in this test.
   */
  @Test
  void noJobIsForgottenDuringAStormOfQueriesAfterARestart() {
    SimulatedCluster cluster =
        SimulatedCluster.builder().seed(5).machines(40).timing(6000, 34_000, 64_000).start();
    for (int i = 0; i < 250; i++) {
      int number = i;
      cluster.time.after(i * 300L, () -> submit(cluster, "job-" + number, 1, 2500));
    }
    cluster.time.runUntil(200_000);
    cluster.changeDeployment(cluster.deployment().withKeyValueStoreRequests(70));
    // After a restart, controllers do not remember how jobs ended.
    cluster.labels().forEach(label -> cluster.faults.kill(label, 300));
    cluster.time.runUntil(206_000);
    for (int i = 0; i < 10_000; i++) {
      String unknown = "job-" + (1_000_000 + i);
      cluster.time.after(i * 10L, () -> cluster.users.query(unknown));
    }
    cluster.time.runUntil(320_000);
    assertNoViolations(cluster);
    assertEquals(250, cluster.invariants.doneJobs());
  }

  /** Users count all free room, regardless of what it is reserved for. */
  @Test
  void noJobWaitsLongBesideRoomReservedForUrgentJobs() {
    SimulatedCluster cluster =
        SimulatedCluster.builder().seed(1).machines(4).timing(2500, 16_000, 46_000).start();
    submit(cluster, "job-1", 16, 120_000);
    cluster.time.runUntil(25_000);
    for (int i = 0; i < 6; i++) {
      cluster.network.delayCommands(0.7); // so that more tasks have to be placed again
      submit(cluster, "job-" + (10 + i), 8, 90_000);
      cluster.runFor(9000);
      for (int urgent = 0; urgent < 6; urgent++) {
        submit(cluster, "job-" + (100 + 10 * i + urgent), 4, 2500);
      }
      cluster.runFor(12_000);
    }
    cluster.network.delayCommands(0);
    cluster.time.runUntil(600_000);
    assertNoViolations(cluster);
  }
}
