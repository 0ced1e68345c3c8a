package org.fieldtrestle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.fieldtrestle.transport.HttpClient;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Many running jobs are cancelled within a fifth of a second, and the key-value store begins to
 * fail at one moment after another of that time and the next. Once the leadership fence bounds what
 * a controller may not have heard of, no task of theirs is started, whichever step the failure
 * falls between.
 *
 * <p>By hand, more machines or other steps, with the figures of each step in {@code
 * target/surefire-reports}: {@code mvn -o -B test -Dtest=CancellationSweepTest -DargLine="-Xmx6g
 * -Dsweep.machines=4000 -Dorg.slf4j.simpleLogger.log.org.fieldtrestle.simulation=info"}.
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

  /** A failure of the key-value store for some time. */
  private interface Failure {
    void begin(SimulatedCluster cluster, long ms);
  }

  @Test
  void cancelledTasksStayStoppedWhenTheStoreRefusesEverybody() {
    sweep((cluster, ms) -> cluster.store.outage(ms));
  }

  @Test
  void cancelledTasksStayStoppedWhenTheStoreRefusesOneController() {
    sweep((cluster, ms) -> cluster.faults.refuse("trestle-" + cluster.time.between(0, 2), ms));
  }

  @Test
  void cancelledTasksStayStoppedWhenTheStoreIsSlow() {
    sweep((cluster, ms) -> cluster.network.slow(ClusterLayout.STORE_ADDRESS, 700, ms));
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
            .limit(CANCELLED)
            .toList();
    assertEquals(CANCELLED, running.size(), "enough jobs run");
    long failsMs = cluster.cancelMs + 12_000;
    cluster.faults.note(failsMs + offsetMs);
    for (int i = 0; i < CANCELLED; i++) {
      SimulatedJob job = running.get(i);
      cluster.time.after(i * CANCELLED_WITHIN_MS / CANCELLED, () -> cluster.users.cancel(job));
    }
    cluster.time.after(offsetMs, () -> failure.begin(cluster, failsMs));
    cluster.time.runUntil(SETTLED_MS + failsMs + AFTERWARDS_MS);
    addFailures(cluster, running, offsetMs, failed);
  }

  private static void addFailures(
      SimulatedCluster cluster, List<SimulatedJob> cancelled, int offsetMs, List<String> failed) {
    List<String> violations = cluster.invariants.violations();
    long lastStartMs = cluster.invariants.lastStartOrderedAfterCancellationMs();
    LOG.atInfo()
        .addKeyValue("offsetMs", offsetMs)
        .addKeyValue("startsOrdered", cluster.invariants.startsOrderedAfterCancellation())
        .addKeyValue("lastAfterMs", lastStartMs)
        .addKeyValue("violations", violations.stream().limit(5).toList())
        .log("sweep step is over");
    String where = "failing from " + offsetMs + " ms on";
    if (!violations.isEmpty()) {
      failed.add(where + ": " + violations.size() + " times " + violations.get(0));
    }
    if (lastStartMs > cluster.cancelMs - cluster.leaseMs) {
      failed.add(where + ": a start after " + lastStartMs + " ms");
    }
    for (SimulatedJob job : cancelled) {
      if (cluster.invariants.runningTasksOf(job.id()) > 0) {
        failed.add(where + ": " + job.id() + " is still on machines");
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
                job.runMs(LONG_RUN_MS);
              }));
    }
    return jobs;
  }
}
