package org.fieldtrestle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * An accepted task can run, whatever part of its team's quota it needs, for any number of
 * controllers: no shard may keep what another one lacks.
 */
class QuotaLimitTest {
  private static final double LIMIT_CPUS = 4;

  /** A job may wait for this long while a machine has room and its team is below its quota. */
  private static final long MAX_WAIT_MS = 90_000;

  private static SimulatedCluster start(long seed, int controllers, double limitCpus) {
    return start(seed, controllers, limitCpus, 12);
  }

  private static SimulatedCluster start(
      long seed, int controllers, double limitCpus, int machines) {
    return SimulatedCluster.builder()
        .seed(seed)
        .machines(machines)
        .deployment(Deployment.small(2500, 16_000, 46_000).with(controllers, limitCpus))
        .start();
  }

  /** Starts long tasks of another team, which leave room on the machines that they run on. */
  private static void startFleet(SimulatedCluster cluster) {
    cluster.users.submit("job-1", job -> job.tasks(12).cpus(8).runMs(600_000));
    cluster.runFor(45_000);
  }

  private static void submitLimited(SimulatedCluster cluster, String id, int tasks, double cpus) {
    cluster.users.submit(id, job -> job.team("limited").tasks(tasks).cpus(cpus).runMs(4000));
  }

  private static void assertAllEnd(SimulatedCluster cluster, long withinMs) {
    long endMs = cluster.time.nowMs() + withinMs;
    while (cluster.time.nowMs() < endMs && !limitedJobsEnded(cluster)) {
      cluster.runFor(1000);
    }
    assertEquals(List.of(), cluster.invariants.violations());
    assertTrue(limitedJobsEnded(cluster), "all jobs of the limited team have ended");
  }

  private static boolean limitedJobsEnded(SimulatedCluster cluster) {
    return cluster.jobs.values().stream()
        .filter(job -> job.team().equals("limited"))
        .allMatch(job -> ConcurrentFailures.hasEnded(cluster, job));
  }

  /**
   * Guards against a fault in which a task that needed more than two thirds of its team's quota
   * never started, because the shards without work of the team kept the rest.
   */
  @ParameterizedTest
  @CsvSource({
    "1, 4", "2, 4", "3, 4", "5, 4", "9, 4", "3, 3.9", "3, 2.7", "3, 2.1", "2, 3.1", "9, 2.3"
  })
  void taskThatNeedsMostOfTheQuotaStarts(int controllers, double cpus) {
    SimulatedCluster cluster = start(controllers, controllers, LIMIT_CPUS);
    startFleet(cluster);
    submitLimited(cluster, "job-2", 1, cpus);
    assertAllEnd(cluster, MAX_WAIT_MS);
  }

  /** Several shards have such tasks, whose parts of the quota do not fit together. */
  @ParameterizedTest
  @ValueSource(ints = {2, 3, 5, 9})
  void largeTasksOfAllShardsStartOneAfterTheOther(int controllers) {
    SimulatedCluster cluster = start(controllers, controllers, LIMIT_CPUS);
    startFleet(cluster);
    for (int i = 0; i < 4; i++) {
      submitLimited(cluster, "job-" + (2 + i), 2, 3 + 0.25 * i);
    }
    assertAllEnd(cluster, 8 * MAX_WAIT_MS);
  }

  /**
   * Guards against a fault in which a waiting task for which there was no machine held the quota
   * that a task with room on another shard lacked.
   */
  @ParameterizedTest
  @ValueSource(ints = {2, 3, 5, 9})
  void taskStartsWhileAnotherOfItsTeamHasNoRoom(int controllers) {
    SimulatedCluster cluster = start(controllers, controllers, LIMIT_CPUS, 4);
    // All machines are rented and have 4 CPUs left; none of another type can be rented.
    cluster.users.submit("job-1", job -> job.tasks(4).cpus(12).runMs(600_000).type("big"));
    cluster.runFor(45_000);
    for (int i = 0; i < controllers; i++) {
      String id = "job-" + (2 + i);
      cluster.users.submit(id, job -> job.team("limited").tasks(1).cpus(3).runMs(4000).type("odd"));
    }
    cluster.runFor(15_000);
    submitLimited(cluster, "job-20", 1, LIMIT_CPUS);
    cluster.runFor(MAX_WAIT_MS);
    assertEquals(List.of(), cluster.invariants.violations());
    assertTrue(cluster.invariants.hasEnded("job-20"), "the task that has room has run");
  }

  /** The controllers that keep a part of the quota end, and are away for long. */
  @ParameterizedTest
  @ValueSource(ints = {2, 3, 5})
  void taskThatNeedsTheWholeQuotaStartsWhileControllersAreAway(int controllers) {
    SimulatedCluster cluster = start(controllers, controllers, LIMIT_CPUS);
    startFleet(cluster);
    for (String label : cluster.labels().subList(1, controllers)) {
      cluster.faults.kill(label, 1_000_000);
    }
    submitLimited(cluster, "job-2", 1, LIMIT_CPUS);
    long takeoverMs = 2 * cluster.cancellationTimeMs + cluster.leaseMs;
    assertAllEnd(cluster, takeoverMs + MAX_WAIT_MS);
  }

  /**
   * Limits near one task, tasks of different sizes, any number of controllers, some of them away.
   */
  @Property(tries = 15, seed = "48", shrinking = ShrinkingMode.OFF)
  void tasksOfAnySizeRunForAnyLimitAndNumberOfControllers(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int controllers = random.nextInt(1, 10);
    double limitCpus = random.nextDouble(1, 16);
    SimulatedCluster cluster = start(seed, controllers, limitCpus);
    startFleet(cluster);
    for (int i = 0; i < 12; i++) {
      String id = "job-" + (2 + i);
      int tasks = random.nextInt(1, 4);
      double cpus = limitCpus * random.nextDouble(0.1, 1);
      cluster.time.after(
          random.nextLong(0, 120_000), () -> submitLimited(cluster, id, tasks, cpus));
    }
    String away = cluster.labels().get(random.nextInt(controllers));
    cluster.runFor(random.nextLong(0, 100_000));
    cluster.faults.recordFault(cluster.cancellationTimeMs + cluster.leaseMs);
    cluster.faults.kill(away, random.nextBoolean() ? 6000 : 90_000);
    cluster.runFor(121_000);
    assertAllEnd(cluster, 20 * MAX_WAIT_MS);
  }
}
