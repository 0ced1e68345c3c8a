package org.fieldtrestle.simulation;

import static org.fieldtrestle.simulation.Scenarios.assertNoViolations;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tasks prefer machines that have their image, but not for longer than users wait beside room. */
class ImageWaitTest {
  private static final long MAX_WAIT_MS = 90_000;

  /**
   * Guards against a fault in which a lost task waited for a machine with its image, all of which
   * were in use for long, until most of the time before its deadline had passed, although other
   * machines were free.
   */
  @Test
  void lostTaskStartsOnAnotherMachineWhileThoseWithItsImageAreInUse() {
    SimulatedCluster cluster = SimulatedCluster.builder().seed(1).machines(8).start();
    cluster.users.submit("job-1", job -> job.tasks(4).cpus(12).runMs(900_000));
    cluster.runFor(60_000);
    SimulatedJob job = cluster.users.submit("job-2", spec -> spec.cpus(12).runMs(10_000));
    while (cluster.invariants.runningTasksOf(job.id()) == 0) {
      assertTrue(cluster.time.nowMs() < 60_000 + MAX_WAIT_MS, "the task begins");
      cluster.runFor(500);
    }
    cluster.machines().stream()
        .filter(machine -> machine.holds(job.task(0)))
        .forEach(SimulatedWorker::fail);
    cluster.runFor(2 * cluster.leaseMs + MAX_WAIT_MS);
    assertNoViolations(cluster);
    assertTrue(cluster.invariants.hasEnded(job.id()), "the task has run");
  }
}
