package org.fieldtrestle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.fieldtrestle.transport.HttpClient;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Many running jobs are cancelled within a fifth of a second, and the state service begins to fail
 * at one moment after another of that time and the next: once what a controller may not have heard
 * of is bounded by its fence, no task of theirs is started, whichever step the failure falls
 * between.
 *
 * <p>By hand, more machines or other steps: {@code mvn -B test -Dtest=CancellationSweepTest
 * -Dsweep.machines=4000 -DargLine=-Xmx6g}.
 */
class CancellationSweepTest {
  private static final Logger LOG = LoggerFactory.getLogger(CancellationSweepTest.class);
  private static final int MACHINES = Integer.getInteger("sweep.machines", 120);
  private static final int STEP_MS = Integer.getInteger("sweep.stepMs", 20);
  private static final int LAST_MS = 240;
  private static final int JOBS = 30;
  private static final int CANCELLED = 18;
  private static final long CANCELLED_WITHIN_MS = 200;
  private static final int CPUS_PER_TASK = 4;
  private static final long LONG_RUN_MS = 600_000;
  private static final long SETTLED_MS = 90_000;
  private static final long AFTERWARDS_MS = 40_000;

  /** What the state service does, given the cluster and for how long. */
  private interface Failure {
    void begin(SimulatedCluster cluster, long ms);
  }

  @Test
  void whereTheStateServiceRefusesEverybody() {
    sweep((cluster, ms) -> cluster.state.outage(ms));
  }

  @Test
  void whereTheStateServiceRefusesOneController() {
    sweep((cluster, ms) -> cluster.isolate("trestle-" + cluster.time.between(0, 2), ms));
  }

  @Test
  void whereTheStateServiceIsSlow() {
    sweep((cluster, ms) -> cluster.net.slow(SimulatedCluster.STATE, 700, ms));
  }

  private static void sweep(Failure failure) {
    List<String> failed = new ArrayList<>();
    for (int offset = 0; offset <= LAST_MS; offset += STEP_MS) {
      play(failure, offset, failed);
    }
    assertEquals(List.of(), failed);
  }

  private static void play(Failure failure, int offsetMs, List<String> failed) {
    SimulatedCluster cluster =
        new SimulatedCluster(
            new SplittableRandom(offsetMs + 1), MACHINES, Deployment.timberFleet());
    cluster.net.largestAnswer = HttpClient.MAX_RESPONSE;
    List<SimulatedCluster.Job> jobs = submitJobs(cluster);
    cluster.time.runUntil(SETTLED_MS);
    List<SimulatedCluster.Job> running =
        jobs.stream().filter(job -> cluster.rules.on(job.id) > 0).limit(CANCELLED).toList();
    assertEquals(CANCELLED, running.size(), "enough jobs run");
    long failsMs = cluster.cancelMs + 12_000;
    cluster.trouble(failsMs + offsetMs);
    for (int i = 0; i < CANCELLED; i++) {
      SimulatedCluster.Job job = running.get(i);
      cluster.time.after(i * CANCELLED_WITHIN_MS / CANCELLED, () -> cluster.cancel(job));
    }
    cluster.time.after(offsetMs, () -> failure.begin(cluster, failsMs));
    cluster.time.runUntil(SETTLED_MS + failsMs + AFTERWARDS_MS);
    String where = "failing from " + offsetMs + " ms on";
    LOG.info(
        "{}: {} starts ordered after a confirmation, the latest {} ms after, broken {}",
        where,
        cluster.rules.orderedAfterCancel,
        cluster.rules.orderedLatestAfterCancelMs,
        cluster.rules.broken.stream().limit(5).toList());
    if (!cluster.rules.broken.isEmpty()) {
      failed.add(
          where + ": " + cluster.rules.broken.size() + " times " + cluster.rules.broken.get(0));
    }
    if (cluster.rules.orderedLatestAfterCancelMs > cluster.cancelMs - cluster.leaseMs) {
      failed.add(where + ": a start after " + cluster.rules.orderedLatestAfterCancelMs + " ms");
    }
    for (SimulatedCluster.Job job : running) {
      if (cluster.rules.on(job.id) > 0) {
        failed.add(where + ": " + job.id + " is still on machines");
      }
    }
  }

  private static List<SimulatedCluster.Job> submitJobs(SimulatedCluster cluster) {
    int tasks = MACHINES * SimulatedCloud.CPUS / CPUS_PER_TASK / JOBS;
    List<SimulatedCluster.Job> jobs = new ArrayList<>();
    for (int i = 1; i <= JOBS; i++) {
      jobs.add(
          cluster.submit(
              "job-" + i,
              job -> {
                job.tasks = tasks;
                job.cpus = CPUS_PER_TASK;
                job.runMs = LONG_RUN_MS;
              }));
    }
    return jobs;
  }
}
