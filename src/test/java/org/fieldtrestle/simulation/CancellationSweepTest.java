package org.fieldtrestle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.fieldtrestle.transport.HttpClient;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Cancels many running jobs within 200 ms and lets the key-value store fail during that time or
 * shortly afterwards; each step of the sweep begins the failure a little later. A controller may
 * miss a cancellation only until its leadership fence closes. After that no task of these jobs may
 * be started, whichever steps of the cancellations the failure falls between.
 *
 * <p>To run the test by hand with more machines or other steps, and with the figures of each step
 * in {@code target/surefire-reports}: {@code mvn -o -B test -Dtest=CancellationSweepTest
 * -DargLine="-Xmx6g -Dsweep.machines=4000
 * -Dorg.slf4j.simpleLogger.log.org.fieldtrestle.simulation=info"}.
 */
class CancellationSweepTest {
  private static final Logger LOG = LoggerFactory.getLogger(CancellationSweepTest.class);
  private static final int MACHINES = Integer.getInteger("sweep.machines", 120);
  private static final int STEP_MS = Integer.getInteger("sweep.stepMs", 20);
  private static final int LAST_OFFSET_MS = 240;
  private static final int JOBS = 30;
  private static final int CANCELLED_JOBS = 18;
  private static final long CANCELLATIONS_WITHIN_MS = 200;
  private static final int CPUS_PER_TASK = 4;
  private static final long TASK_RUN_MS = 600_000;
  private static final long SETTLED_MS = 90_000;
  private static final long RECOVERY_MS = 40_000;

  /** A failure of the key-value store that lasts for some time. */
  private interface Failure {
    void begin(SimulatedCluster cluster, long durationMs);
  }

  @Test
  void cancelledTasksStayStoppedWhenTheStoreRefusesAllControllers() {
    sweep((cluster, durationMs) -> cluster.store.outage(durationMs));
  }

  @Test
  void cancelledTasksStayStoppedWhenTheStoreRefusesOneController() {
    sweep(
        (cluster, durationMs) ->
            cluster.faults.refuseStoreRequests(
                "trestle-" + cluster.time.between(0, 2), durationMs));
  }

  @Test
  void cancelledTasksStayStoppedWhenTheStoreIsSlow() {
    sweep(
        (cluster, durationMs) ->
            cluster.network.slow(ClusterLayout.STORE_ADDRESS, 700, durationMs));
  }

  private static void sweep(Failure failure) {
    List<String> failedChecks = new ArrayList<>();
    for (int offsetMs = 0; offsetMs <= LAST_OFFSET_MS; offsetMs += STEP_MS) {
      runStep(failure, offsetMs, failedChecks);
    }
    assertEquals(List.of(), failedChecks);
  }

  private static void runStep(Failure failure, int offsetMs, List<String> failedChecks) {
    SimulatedCluster cluster =
        SimulatedCluster.builder()
            .seed(offsetMs + 1)
            .machines(MACHINES)
            .deployment(Deployment.largeWithLongIntervals())
            .start();
    cluster.network.limitAnswers(HttpClient.MAX_RESPONSE_BYTES);
    List<SimulatedJob> jobs = submitJobs(cluster);
    cluster.time.runUntil(SETTLED_MS);
    List<SimulatedJob> running =
        jobs.stream()
            .filter(job -> cluster.invariants.runningTasksOf(job.id()) > 0)
            .limit(CANCELLED_JOBS)
            .toList();
    assertEquals(CANCELLED_JOBS, running.size(), "enough jobs are running");
    long failureMs = cluster.cancelMs + 12_000;
    cluster.faults.note(failureMs + offsetMs);
    for (int i = 0; i < CANCELLED_JOBS; i++) {
      SimulatedJob job = running.get(i);
      cluster.time.after(
          i * CANCELLATIONS_WITHIN_MS / CANCELLED_JOBS, () -> cluster.users.cancel(job));
    }
    cluster.time.after(offsetMs, () -> failure.begin(cluster, failureMs));
    cluster.time.runUntil(SETTLED_MS + failureMs + RECOVERY_MS);
    addFailures(cluster, running, offsetMs, failedChecks);
  }

  private static void addFailures(
      SimulatedCluster cluster,
      List<SimulatedJob> cancelled,
      int offsetMs,
      List<String> failedChecks) {
    List<String> violations = cluster.invariants.violations();
    long lastStartMs = cluster.invariants.latestStartCommandAfterCancellationMs();
    LOG.atInfo()
        .addKeyValue("offsetMs", offsetMs)
        .addKeyValue("startsOrdered", cluster.invariants.startCommandsAfterCancellation())
        .addKeyValue("lastAfterMs", lastStartMs)
        .addKeyValue("violations", violations.stream().limit(5).toList())
        .log("sweep step is over");
    String context = "store failure after " + offsetMs + " ms";
    if (!violations.isEmpty()) {
      failedChecks.add(
          context + ": " + violations.size() + " violations, the first: " + violations.get(0));
    }
    if (lastStartMs > cluster.cancelMs - cluster.leaseMs) {
      failedChecks.add(context + ": a start ordered " + lastStartMs + " ms after the cancellation");
    }
    for (SimulatedJob job : cancelled) {
      if (cluster.invariants.runningTasksOf(job.id()) > 0) {
        failedChecks.add(context + ": " + job.id() + " is still on machines");
      }
    }
  }

  private static List<SimulatedJob> submitJobs(SimulatedCluster cluster) {
    int tasks = MACHINES * SimulatedCloud.CPUS / CPUS_PER_TASK / JOBS;
    List<SimulatedJob> jobs = new ArrayList<>();
    for (int i = 1; i <= JOBS; i++) {
      jobs.add(
          cluster.users.submit(
              "job-" + i,
              job -> {
                job.tasks(tasks);
                job.cpus(CPUS_PER_TASK);
                job.runMs(TASK_RUN_MS);
              }));
    }
    return jobs;
  }
}
