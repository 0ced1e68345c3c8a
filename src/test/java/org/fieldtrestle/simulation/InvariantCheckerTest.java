package org.fieldtrestle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Tests the invariant checker itself: each rule reports its violation, and nothing otherwise. */
class InvariantCheckerTest {
  private final SimulatedCluster cluster = SimulatedCluster.builder().seed(3).machines(0).start();

  private SimulatedJob submit(String id, Consumer<SimulatedJob> shape) {
    return cluster.users.submit(
        id,
        job -> {
          job.tasks(12);
          shape.accept(job);
        });
  }

  /**
   * Defines a job without submitting it, so that the rules see only those events of the job that
   * the test reports.
   */
  private SimulatedJob define(String id, Consumer<SimulatedJob> shape) {
    return cluster.users.define(
        id,
        job -> {
          job.tasks(12);
          shape.accept(job);
        });
  }

  private SimulatedWorker addMachine(String id, String type, String zone, boolean spot) {
    SimulatedWorker machine = new SimulatedWorker(cluster, id, "10.1.0.9:1", type, zone, spot);
    cluster.cloud.machines.put(id, machine);
    return machine;
  }

  private void assertOnlyViolation(String rule) {
    assertEquals(
        1, cluster.invariants.violations().size(), cluster.invariants.violations().toString());
    assertTrue(
        cluster.invariants.violations().get(0).startsWith(rule),
        cluster.invariants.violations().toString());
  }

  @Test
  void taskOnTwoMachinesAtATimeIsAViolation() {
    submit("job-1", j -> {});
    cluster.invariants.taskStarted("job-1/0", addMachine("host-1", "big", "a", false));
    cluster.invariants.taskStopped("job-1/0", "host-1");
    cluster.invariants.taskStarted("job-1/0", addMachine("host-2", "big", "a", false));
    assertEquals(
        0, cluster.invariants.violations().size(), "a task may move from one machine to another");
    cluster.invariants.taskStarted("job-1/0", addMachine("host-3", "big", "a", false));
    assertOnlyViolation("ran_twice");
  }

  @Test
  void teamBeyondItsQuotaIsAViolation() {
    submit("job-1", j -> j.team("limited"));
    for (int i = 0; i < 10; i++) {
      cluster.invariants.taskStarted("job-1/" + i, addMachine("host-" + i, "big", "a", false));
    }
    assertEquals(0, cluster.invariants.violations().size(), "40 CPUs are allowed");
    cluster.invariants.taskStarted("job-1/10", addMachine("host-10", "big", "a", false));
    assertOnlyViolation("quota");
  }

  @Test
  void taskOnAnotherMachineTypeIsAViolation() {
    submit("job-1", j -> j.type("odd"));
    cluster.invariants.taskStarted("job-1/0", addMachine("host-1", "big", "a", true));
    assertOnlyViolation("wrong_place");
  }

  @Test
  void taskOnASpotMachineThatItsJobExcludesIsAViolation() {
    submit("job-2", j -> j.spot(false));
    cluster.invariants.taskStarted("job-2/0", addMachine("host-2", "big", "a", true));
    assertOnlyViolation("wrong_place");
  }

  @Test
  void taskInAnotherZoneIsAViolation() {
    submit("job-3", j -> j.zone("b"));
    cluster.invariants.taskStarted("job-3/0", addMachine("host-3", "big", "a", true));
    assertOnlyViolation("wrong_place");
  }

  @Test
  void tasksInTwoZonesOfAJobBoundToOneIsAViolation() {
    submit("job-4", j -> j.oneZone(true));
    cluster.invariants.taskStarted("job-4/0", addMachine("host-4", "big", "a", true));
    cluster.invariants.taskStarted("job-4/1", addMachine("host-5", "big", "b", true));
    assertOnlyViolation("wrong_place");
  }

  @Test
  void moreThanHalfOfASpreadJobInOneZoneIsAViolation() {
    submit("job-5", j -> j.spread(true));
    for (int i = 0; i < 6; i++) {
      cluster.invariants.taskStarted("job-5/" + i, addMachine("host-1" + i, "big", "a", true));
    }
    assertEquals(0, cluster.invariants.violations().size(), "half of the twelve tasks");
    cluster.invariants.taskStarted("job-5/6", addMachine("host-17", "big", "a", true));
    assertOnlyViolation("wrong_place");
  }

  @Test
  void taskThatRunsTooLongAfterItsCancellationIsAViolation() {
    SimulatedJob job = submit("job-1", j -> {});
    cluster.users.noteCancellation(job.id());
    cluster.invariants.taskStarted("job-1/0", addMachine("host-1", "big", "a", false));
    cluster.invariants.answerReceived("job-1", 200, "cancelled", 0);
    cluster.time.runUntil(cluster.cancelMs - 1000);
    assertTrue(
        cluster.invariants.violations().stream()
            .noneMatch(violation -> violation.startsWith("ran_cancelled")));
    cluster.time.runUntil(cluster.cancelMs + 2000);
    assertTrue(
        cluster.invariants.violations().stream()
            .anyMatch(violation -> violation.startsWith("ran_cancelled")));
  }

  @Test
  void acceptedJobThatIsNotFoundIsAViolation() {
    cluster.invariants.jobAccepted("job-1");
    cluster.invariants.answerReceived("job-1", 404, "", 0);
    assertOnlyViolation("forgotten");
  }

  @Test
  void unsubmittedJobThatIsFoundIsAViolation() {
    cluster.invariants.answerReceived("job-7", 404, "", 0);
    assertEquals(
        0, cluster.invariants.violations().size(), "a job that nobody submitted need not be found");
    cluster.invariants.answerReceived("job-7", 200, "queued", 0);
    assertOnlyViolation("invented");
  }

  @Test
  void jobThatIsDoneWithoutResultsIsAViolation() {
    submit("job-1", j -> j.tasks(1));
    cluster.invariants.answerReceived("job-1", 200, "done", 0);
    assertOnlyViolation("not_done");
  }

  @Test
  void doneJobThatRunsAgainIsAViolation() {
    submit("job-1", j -> j.tasks(1));
    cluster.addResult("job-1/0");
    cluster.invariants.answerReceived("job-1", 200, "done", 0);
    cluster.time.runUntil(10);
    cluster.invariants.answerReceived("job-1", 200, "running", 5);
    assertOnlyViolation("went_back");
  }

  @Test
  void unrequestedCancellationIsAViolation() {
    submit("job-2", j -> {});
    cluster.invariants.answerReceived("job-2", 200, "cancelled", 0);
    assertOnlyViolation("went_back");
  }

  @Test
  void cancelledTaskThatStartsAgainAfterAHangIsAViolation() {
    SimulatedJob job = define("job-1", j -> {});
    cluster.users.noteCancellation(job.id());
    SimulatedWorker machine = addMachine("host-1", "big", "a", false);
    machine.faults.hang(cluster.cancelMs + 5000);
    cluster.invariants.taskStarted("job-1/0", machine);
    cluster.invariants.answerReceived("job-1", 200, "cancelled", 0);
    cluster.invariants.taskStopped("job-1/0", "host-1");
    cluster.time.runUntil(cluster.cancelMs + 6000);
    assertEquals(List.of(), cluster.invariants.violations(), "the task stopped in time");
    cluster.invariants.taskStarted("job-1/0", machine);
    assertTrue(
        cluster.invariants.violations().stream()
            .anyMatch(violation -> violation.startsWith("ran_cancelled")));
  }

  @Test
  void startOrderedTooLongAfterACancellationIsAViolation() {
    SimulatedJob job = define("job-1", j -> {});
    cluster.users.noteCancellation(job.id());
    cluster.time.runUntil(1000);
    cluster.invariants.answerReceived("job-1", 200, "cancelled", 0);
    cluster.invariants.startCommandExecuted("job-1/0", 1001);
    assertEquals(
        0,
        cluster.invariants.violations().size(),
        "a start may be ordered shortly after the confirmation");
    assertEquals(1, cluster.invariants.startCommandsAfterCancellation());
    cluster.time.runUntil(4000);
    cluster.invariants.startCommandExecuted("job-1/1", 4000);
    assertOnlyViolation("started_cancelled");
    cluster.invariants.clearViolations();
    cluster.faults.note(60_000);
    cluster.invariants.startCommandExecuted("job-1/2", 4000);
    assertEquals(
        0,
        cluster.invariants.violations().size(),
        "the fault may keep a controller from learning of the cancellation");
  }

  @Test
  void acceptedUnsatisfiableJobIsAViolation() {
    cluster.users.submitUnsatisfiable("job-1", new byte[0], 400);
    cluster.invariants.jobAccepted("job-1");
    assertOnlyViolation("accepted_hopeless");
  }

  @Test
  void jobUnansweredForTooLongIsAViolation() {
    define("job-1", j -> {});
    cluster.invariants.jobAccepted("job-1");
    cluster.faults.note(20_000);
    cluster.invariants.answerReceived("job-1", 503, "", 0);
    cluster.time.runUntil(94_000);
    cluster.invariants.answerReceived("job-1", 503, "", 0);
    assertEquals(0, cluster.invariants.violations().size(), "less than 75 s after the faults");
    cluster.time.runUntil(96_000);
    cluster.invariants.answerReceived("job-1", 0, "", 0);
    assertOnlyViolation("forgotten");
  }

  @Test
  void jobThatWaitsTooLongDespiteFreeRoomIsAViolation() {
    SimulatedJob job =
        define(
            "job-1",
            j -> {
              j.tasks(2);
              j.cpus(16);
              j.zone("b");
            });
    cluster.invariants.jobAccepted(job.id());
    cluster
        .labels()
        .forEach(label -> cluster.faults.kill(label, 1_000_000)); // no controller schedules the job
    addMachine("host-1", "big", "a", false).boot();
    cluster.time.runUntil(100_000);
    assertEquals(0, cluster.invariants.violations().size(), "no machine in the zone of the job");
    addMachine("host-2", "big", "b", false).boot();
    cluster.invariants.taskStarted("job-1/0", addMachine("host-3", "big", "b", false));
    cluster.time.runUntil(185_000);
    assertEquals(0, cluster.invariants.violations().size(), "less than 90 s with free room");
    cluster.time.runUntil(195_000);
    assertTrue(
        cluster.invariants.violations().stream()
            .anyMatch(violation -> violation.startsWith("waits")));
    cluster.invariants.clearViolations();
    cluster.jobs.get("job-1").team("limited");
    cluster.jobs.get("job-1").cpus(30);
    cluster.time.runUntil(300_000);
    assertEquals(List.of(), cluster.invariants.violations(), "the team is at its quota");
  }

  @Test
  void historyWithTooFewFinishedJobsIsAViolation() {
    for (int i = 0; i < 4; i++) {
      int tasks = i + 1;
      define("job-" + i, j -> j.tasks(tasks));
    }
    cluster.invariants.taskStarted("job-3/0", addMachine("host-1", "big", "a", false));
    cluster.invariants.answerReceived("job-0", 200, "running", 0);
    cluster.invariants.checkFinalProgress();
    assertTrue(
        cluster.invariants.violations().stream()
            .anyMatch(violation -> violation.contains("team open: 0 of 4")));
    assertTrue(
        cluster.invariants.violations().stream()
            .anyMatch(violation -> violation.contains("class batch: 0 of 4")));
    assertTrue(
        cluster.invariants.violations().stream()
            .anyMatch(violation -> violation.contains("largest: 0 of 1")));
    cluster.invariants.clearViolations();
    for (int i = 1; i < 4; i++) {
      for (int task = 0; task <= i; task++) {
        cluster.addResult("job-" + i + "/" + task);
      }
      cluster.invariants.answerReceived("job-" + i, 200, "done", 0);
    }
    cluster.invariants.checkFinalProgress();
    assertEquals(
        List.of(),
        cluster.invariants.violations(),
        "three of four jobs are done, the largest among them");
    define("job-9", j -> j.tasks(12));
    cluster.time.runUntil(250_000);
    cluster.invariants.clearViolations();
    cluster.invariants.checkFinalProgress();
    assertTrue(
        cluster.invariants.violations().stream()
            .anyMatch(
                violation ->
                    violation.contains("job-9 is of the largest and began after 250000 ms")));
  }
}
