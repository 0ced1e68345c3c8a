package org.fieldtrestle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.fieldtrestle.transport.HttpClient;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Hundreds to thousands of machines, with the limits of the key-value store enforced, two faults at
 * a time: every accepted job can be asked about once the faults are over.
 *
 * <p>By hand, more seeds and sizes, with the figures of each day in {@code
 * target/surefire-reports}: {@code mvn -o -B test -Dtest=ProductionSizeTest -DargLine="-Xmx6g
 * -Dproduction.seeds=20 -Dproduction.machines=4000
 * -Dorg.slf4j.simpleLogger.log.org.fieldtrestle.simulation=info"}.
 */
class ProductionSizeTest {
  private static final Logger LOG = LoggerFactory.getLogger(ProductionSizeTest.class);
  private static final int MACHINES = Integer.getInteger("production.machines", 500);
  private static final int SEEDS = Integer.getInteger("production.seeds", 1);
  private static final int FIRST_SEED = Integer.getInteger("production.first", 1);

  /** A day begins without faults, then faults come, and there are none for the rest. */
  private static final long FAULTS_FROM_MS = 90_000;

  private static final long FAULTS_EVERY_MS = 80_000;
  private static final int FAULTS = 3;
  private static final long ENDS_MS = 660_000;

  @Test
  void everyJobIsAnsweredAfterFaultsOfATimberFleet() {
    play(Deployment.largeWithLongIntervals());
  }

  @Test
  void everyJobIsAnsweredAfterFaultsOfAPayrollFleet() {
    play(Deployment.largeWithShortIntervals());
  }

  @Test
  void everyJobIsAnsweredAfterFaultsOfTheSmallestControllers() {
    play(Deployment.largeWithSmallControllers());
  }

  private static void play(Deployment deployment) {
    for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      day(deployment, seed);
    }
  }

  private static void day(Deployment deployment, long seed) {
    SimulatedCluster cluster =
        SimulatedCluster.builder().seed(seed).machines(MACHINES).deployment(deployment).start();
    cluster.network.limitAnswers(HttpClient.MAX_RESPONSE_BYTES);
    UserAnswerLog answers = new UserAnswerLog(cluster);
    submitAll(cluster, answers);
    List<Integer> kinds = new ArrayList<>();
    for (int i = 0; i < FAULTS; i++) {
      long at = FAULTS_FROM_MS + i * FAULTS_EVERY_MS;
      for (int each = 0; each < 2; each++) {
        int kind = ProductionFaults.drawKind(cluster.time);
        kinds.add(kind);
        cluster.time.after(
            at + cluster.time.between(0, 10_000), () -> ProductionFaults.inject(cluster, kind));
      }
    }
    cluster.time.runUntil(ENDS_MS);
    LOG.atInfo()
        .addKeyValue("seed", seed)
        .addKeyValue("machines", MACHINES)
        .addKeyValue("faults", kinds)
        .addKeyValue("longestUnanswered", answers.longest())
        .addKeyValue("endedJobs", answers.ended())
        .addKeyValue("acceptedJobs", answers.accepted())
        .addKeyValue("answersByStatus", answers.statuses())
        .addKeyValue("refusedForLimits", cluster.store.refusedForLimits())
        .addKeyValue("tooLargeAnswers", cluster.network.tooLargeAnswers())
        .addKeyValue("violations", cluster.invariants.violations().stream().limit(5).toList())
        .log("day is over");
    assertEquals(List.of(), cluster.invariants.violations(), "seed " + seed + ", faults " + kinds);
    assertTrue(
        answers.longest().ms() < UserAnswerLog.FORGOTTEN_MS,
        "seed " + seed + ", faults " + kinds + ": " + answers.longest());
  }

  /** Arrays that fill most of the fleet, and single tasks four a second, some called off. */
  private static void submitAll(SimulatedCluster cluster, UserAnswerLog answers) {
    SimulatedTime time = cluster.time;
    int number = 0;
    for (long at = 2000; at < 380_000; at += 250) {
      int id = ++number;
      time.after(
          at,
          () -> {
            SimulatedJob job = cluster.users.define("job-" + id, one -> one.runMs(4000));
            answers.submit(job);
            if (time.chance(0.25)) {
              time.after(time.between(100, 12_000), () -> answers.cancel(job));
            }
          });
    }
    int slots = MACHINES * SimulatedCloud.CPUS / 8;
    for (long at = 2000; at < 360_000; at += 4000) {
      int id = ++number;
      time.after(
          at,
          () ->
              answers.submit(
                  cluster.users.define(
                      "job-" + id,
                      one -> {
                        one.tasks(Math.max(1, slots / 12));
                        one.cpus(8);
                        one.runMs(30_000);
                        one.image("img-" + id % 4);
                      })));
    }
  }
}
