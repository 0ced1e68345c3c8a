package org.fieldtrestle.simulation;

import static org.fieldtrestle.simulation.Scenarios.assertCancelled;
import static org.fieldtrestle.simulation.Scenarios.assertDone;
import static org.fieldtrestle.simulation.Scenarios.assertJobsDone;
import static org.fieldtrestle.simulation.Scenarios.assertNoViolations;
import static org.fieldtrestle.simulation.Scenarios.submit;
import static org.fieldtrestle.simulation.Scenarios.submitJobs;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import org.fieldtrestle.protocol.Json;
import org.junit.jupiter.api.Test;

/** A fault of one job, machine, record or controller does not affect the others. */
class FaultContainmentTest {
  private final SimulatedCluster cluster = SimulatedCluster.builder().seed(11).machines(12).start();

  @Test
  void jobEndsWhenTheStoreHoldsDamagedAndForeignValues() {
    cluster.time.runUntil(5000);
    JsonNode foreign = Json.object().put("hello", "world");
    for (String key :
        new String[] {
          "ft/live/job/job-77",
          "ft/live/range/job-78/0",
          "ft/live/machine/host-000900",
          "ft/live/roster/trestle-9/0",
          "ft/live/roster/trestle-0/7",
          "ft/live/quota/open",
          "ft/live/member/nobody",
          "ft/live/master/trestle-9",
          "ft/live/whatever"
        }) {
      cluster.store.overwrite(key, foreign);
    }
    cluster.store.overwrite("ft/live/job/job-79", Json.object().put("f", 9));
    cluster.users.submit("job-1", job -> job.tasks(8));
    cluster.time.after(
        20_000, () -> cluster.labels().forEach(label -> cluster.faults.kill(label, 3000)));
    cluster.time.runUntil(120_000);
    assertNoViolations(cluster);
    assertDone(cluster, "job-1");
  }

  @Test
  void jobWithADamagedRecordIsNeitherForgottenNorEnded() {
    submit(cluster, "job-1", 4, 60_000);
    cluster.time.runUntil(40_000);
    assertTrue(cluster.invariants.starts() > 0);
    cluster.store.overwrite("ft/live/job/job-1", Json.object().put("f", 9));
    cluster.time.runUntil(200_000);
    assertNoViolations(cluster);
    assertNotEquals("done", cluster.invariants.lastStageOf("job-1"));
    assertNotEquals("cancelled", cluster.invariants.lastStageOf("job-1"));
  }

  @Test
  void otherJobEndsWhenAJobFailsOnEveryMachine() {
    cluster.users.submit(
        "job-1",
        job -> {
          job.tasks(6);
          job.failing(true);
        });
    submit(cluster, "job-2", 30, 8000);
    cluster.time.runUntil(250_000);
    assertNoViolations(cluster);
    assertDone(cluster, "job-2");
    int failingStarts = cluster.invariants.starts() - 30;
    assertTrue(failingStarts < 400, "the pause between retries grows, starts: " + failingStarts);
  }

  @Test
  void machineThatFailsEveryTaskIsReturned() {
    cluster.time.runUntil(3000);
    submit(cluster, "job-1", 40, 10_000);
    submit(cluster, "job-2", 40, 10_000);
    cluster.time.runUntil(25_000);
    String faulty = cluster.cloud.machines.firstKey();
    cluster.cloud.machines.get(faulty).faults.failTasks();
    cluster.time.runUntil(300_000);
    assertNoViolations(cluster);
    assertDone(cluster, "job-1");
    assertDone(cluster, "job-2");
    assertFalse(cluster.cloud.machines.containsKey(faulty), "the faulty machine was returned");
  }

  @Test
  void slowMachineIsReturnedAndGetsFewTasks() {
    submitJobs(cluster, 4, 40, 10_000);
    cluster.time.runUntil(22_000);
    String slow = cluster.cloud.machines.firstKey();
    cluster.cloud.machines.get(slow).faults.slowDown(6);
    cluster.time.runUntil(300_000);
    assertNoViolations(cluster);
    assertJobsDone(cluster, 4);
    assertFalse(cluster.cloud.machines.containsKey(slow), "the slow machine was returned");
    assertTrue(cluster.invariants.startsOn(slow) < 40, "the slow machine gets few tasks");
  }

  @Test
  void jobOfAHundredThousandTasksRunsAndCanBeCancelled() {
    cluster.users.submit("job-1", job -> job.tasks(100_000));
    cluster.time.runUntil(30_000);
    assertNoViolations(cluster);
    assertTrue(cluster.invariants.starts() > 20, "starts " + cluster.invariants.starts());
    cluster.users.cancel(cluster.jobs.get("job-1"));
    cluster.time.runUntil(120_000);
    assertNoViolations(cluster);
    assertCancelled(cluster, "job-1");
  }

  @Test
  void otherJobsEndWhenTheStoreRefusesOneController() {
    for (int i = 0; i < 6; i++) {
      int number = i;
      cluster.time.after(
          i * 8000L,
          () ->
              cluster.users.submit(
                  "job-" + number,
                  job -> {
                    job.tasks(10);
                    // Jobs to be cancelled run for longer than a cancellation may take.
                    job.runMs(number == 1 || number == 3 ? 120_000 : 20_000);
                  }));
    }
    cluster.time.after(25_000, () -> cluster.faults.refuseStoreRequests("trestle-0", 70_000));
    cluster.time.after(30_000, () -> cluster.users.cancel(cluster.jobs.get("job-1")));
    cluster.time.after(40_000, () -> cluster.users.cancel(cluster.jobs.get("job-3")));
    cluster.time.runUntil(400_000);
    assertNoViolations(cluster);
    for (int i : new int[] {0, 2, 4, 5}) {
      assertDone(cluster, "job-" + i);
    }
  }
}
