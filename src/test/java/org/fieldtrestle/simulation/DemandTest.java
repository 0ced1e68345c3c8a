package org.fieldtrestle.simulation;

import static org.fieldtrestle.simulation.ConcurrentFailures.forEachDeployment;
import static org.fieldtrestle.simulation.ConcurrentFailures.hasEnded;
import static org.fieldtrestle.simulation.ConcurrentFailures.submit;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.fieldtrestle.protocol.Json;
import org.junit.jupiter.api.Test;

/**
 * Demanding, excessive and invalid submissions while faults occur: the invariants hold and all jobs
 * end.
 */
class DemandTest {
  @Test
  void zoneBoundJobsEndWhenTheirMachinesAreLost() {
    forEachDeployment(
        14,
        cluster -> {
          submit(cluster, 3, 6, 20_000, job -> job.zone("b"));
          submit(cluster, 3, 6, 20_000, job -> job.oneZone(true));
          submit(cluster, 2, 7, 20_000, job -> job.spread(true));
          for (int i = 0; i < 3; i++) {
            cluster.runFor(26_000);
            String zone = i == 1 ? "a" : "b";
            int starts = cluster.invariants.starts();
            cluster.machines().stream()
                .filter(machine -> machine.zone.equals(zone))
                .forEach(SimulatedWorker::fail);
            if (i == 1) {
              cluster.faults.kill("trestle-1", 30_000);
            }
            cluster.runFor(8000);
            cluster.faults.note(0);
            assertTrue(starts > 0);
          }
        });
  }

  @Test
  void jobsEndWhenWorkExceedsTheCapacityAndImageFetchesAreSlow() {
    forEachDeployment(
        5,
        cluster -> {
          cluster.slowImageFetches(8);
          submit(cluster, 2, 20, 25_000);
          for (int i = 0; i < 20; i++) {
            int number = i;
            submit(cluster, 1, 6, 2500, job -> job.image("img-" + number % 4));
            cluster.runFor(5000);
          }
          assertTrue(
              cluster.jobs.values().stream().anyMatch(job -> !hasEnded(cluster, job)),
              "some jobs have not ended yet");
          cluster.faults.note(0);
        });
  }

  @Test
  void unsatisfiableJobsAreRejectedAndEndedJobsStayEnded() {
    forEachDeployment(
        14,
        cluster -> {
          List<SimulatedJob> jobs = submit(cluster, 4, 3, 5000);
          cluster.runFor(20_000);
          cluster.faults.kill("trestle-1", 800);
          int lastNumber = submitIncomplete(cluster, jobs.get(0), 1000);
          lastNumber = submitUnsatisfiable(cluster, jobs.get(0), lastNumber);
          for (int i = 0; i < 10; i++) {
            jobs.forEach(cluster.users::submitAgain);
            cluster.runFor(3000);
          }
          jobs.forEach(cluster.users::cancel);
          cluster.runFor(3000);
          assertTrue(lastNumber > 1020, "all variants were submitted");
        });
  }

  /**
   * Submits variants of a complete job that each lack one required field, numbered from {@code
   * lastNumber + 1}. Returns the last number.
   */
  private static int submitIncomplete(
      SimulatedCluster cluster, SimulatedJob complete, int lastNumber) {
    int number = lastNumber;
    for (var field : Json.parseOrEmpty(complete.body()).properties()) {
      if (Set.of("yard", "dueS").contains(field.getKey())) {
        continue; // may be omitted
      }
      ObjectNode body = copy(complete, ++number);
      body.remove(field.getKey());
      cluster.users.submitUnsatisfiable("job-" + number, Json.bytes(body), 400);
    }
    return number;
  }

  /**
   * Submits variants of a job that each have one value that no machine or team allows, numbered
   * from {@code lastNumber + 1}. Returns the last number.
   */
  private static int submitUnsatisfiable(
      SimulatedCluster cluster, SimulatedJob satisfiable, int lastNumber) {
    int number = lastNumber;
    for (Consumer<ObjectNode> change :
        List.<Consumer<ObjectNode>>of(
            body -> body.put("cpus", 17.0),
            body -> body.put("memoryGb", 65.0),
            body -> body.put("gpus", 1.0),
            body -> body.put("crew", "nobody"),
            body -> body.put("yard", "nowhere"),
            body -> body.putArray("rigs").add("unheard-of"))) {
      ObjectNode body = copy(satisfiable, ++number);
      change.accept(body);
      cluster.users.submitUnsatisfiable("job-" + number, Json.bytes(body), 422);
    }
    return number;
  }

  private static ObjectNode copy(SimulatedJob job, int number) {
    ObjectNode body = (ObjectNode) Json.parseOrEmpty(job.body());
    return body.put("uid", "job-" + number);
  }
}
