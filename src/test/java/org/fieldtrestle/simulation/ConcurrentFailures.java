package org.fieldtrestle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * What tests of concurrent failures have in common. Such a test shows that its failures coincided;
 * afterwards the invariants have held and all jobs end.
 */
final class ConcurrentFailures {
  private static final int SEEDS = 3;
  private static final long JOBS_END_WITHIN_MS = 500_000;

  private ConcurrentFailures() {}

  /** Plays failures on clusters of each kind, and checks that all jobs end afterwards. */
  static void forEachDeployment(int machines, Consumer<SimulatedCluster> failures) {
    for (Deployment deployment : Deployment.smallOfEachKind()) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        SimulatedCluster cluster =
            SimulatedCluster.builder().seed(seed).machines(machines).deployment(deployment).start();
        failures.accept(cluster);
        assertAllJobsEnd(cluster, "seed " + seed + ", lease " + deployment.leaseMs());
      }
    }
  }

  private static void assertAllJobsEnd(SimulatedCluster cluster, String where) {
    for (long endMs = cluster.time.now() + JOBS_END_WITHIN_MS;
        cluster.time.now() < endMs && !isOver(cluster); ) {
      cluster.runFor(5000);
    }
    cluster.invariants.checkEndOfDay();
    assertEquals(List.of(), cluster.invariants.violations(), where);
    cluster.jobs.values().stream()
        .filter(job -> !job.isUnsatisfiable())
        .forEach(job -> assertTrue(hasEnded(cluster, job), job.id() + " ends; " + where));
  }

  private static boolean isOver(SimulatedCluster cluster) {
    return cluster.time.now() > cluster.faults.endMs() + cluster.cancelMs
        && cluster.jobs.values().stream()
            .allMatch(job -> job.isUnsatisfiable() || hasEnded(cluster, job));
  }

  static boolean hasEnded(SimulatedCluster cluster, SimulatedJob job) {
    return cluster.invariants.hasEnded(job.id());
  }

  static List<SimulatedJob> submit(SimulatedCluster cluster, int jobs, int tasks, long runMs) {
    return submit(cluster, jobs, tasks, runMs, job -> {});
  }

  /** Submits jobs with consecutive identifiers. */
  static List<SimulatedJob> submit(
      SimulatedCluster cluster, int jobs, int tasks, long runMs, Consumer<SimulatedJob> shape) {
    List<SimulatedJob> all = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      all.add(
          cluster.users.submit(
              "job-" + (cluster.jobs.size() + 1),
              job -> shape.accept(job.tasks(tasks).runMs(runMs))));
    }
    return all;
  }

  /** Another controller than the given one. */
  static String other(SimulatedCluster cluster, String label) {
    List<String> labels = cluster.labels();
    return labels.get((labels.indexOf(label) + 1) % labels.size());
  }

  /** The last heartbeat of each machine, by its name. */
  static Map<String, byte[]> heartbeats(SimulatedCluster cluster) {
    Map<String, byte[]> heartbeats = new HashMap<>();
    cluster.machines().forEach(machine -> heartbeats.put(machine.id, machine.lastHeartbeat()));
    return heartbeats;
  }

  static void assertLeadersChanged(SimulatedCluster cluster, List<Long> epochsBefore) {
    assertNotEquals(epochsBefore, cluster.store.shardEpochs(), "a shard has changed hands");
  }

  /** How many tasks of these jobs are on machines. */
  static int runningTasks(SimulatedCluster cluster, List<SimulatedJob> jobs) {
    return jobs.stream().mapToInt(job -> cluster.invariants.runningTasksOf(job.id())).sum();
  }

  /** Half of the time other controllers' notices of a cancellation do not reach the leader. */
  static void maybeLosePeers(SimulatedCluster cluster, String leader) {
    if (cluster.time.chance(0.5)) {
      cluster.faults.disconnect(leader, cluster.cancelMs + 30_000, Link.PEERS);
    }
  }

  /** Cancels jobs at another controller than their leader and waits for its confirmation. */
  static void cancelElsewhere(
      SimulatedCluster cluster, String leader, List<SimulatedJob> jobs, long ms) {
    jobs.forEach(job -> cluster.users.cancelAt(other(cluster, leader), job));
    cluster.runFor(ms);
    for (SimulatedJob job : jobs) {
      assertEquals(
          "cancelled", cluster.invariants.lastStageOf(job.id()), "confirmed by another controller");
    }
  }
}
