package org.fieldtrestle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.fieldtrestle.transport.HttpClient;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Hundreds to thousands of machines, with the limits of the state service enforced, two troubles at
 * a time: every accepted job can be asked about once the troubles are over.
 *
 * <p>By hand, more seeds and sizes: {@code mvn -B test -Dtest=ProductionSizeTest
 * -Dproduction.seeds=20 -Dproduction.machines=4000 -DargLine=-Xmx6g}.
 */
class ProductionSizeTest {
  private static final Logger LOG = LoggerFactory.getLogger(ProductionSizeTest.class);
  private static final int MACHINES = Integer.getInteger("production.machines", 500);
  private static final int SEEDS = Integer.getInteger("production.seeds", 1);
  private static final int FIRST_SEED = Integer.getInteger("production.first", 1);

  /** A day begins calm, then troubles come, and all is calm for the rest. */
  private static final long TROUBLES_FROM_MS = 90_000;

  private static final long TROUBLES_EVERY_MS = 80_000;
  private static final int TROUBLES = 3;
  private static final long ENDS_MS = 660_000;

  private static final int TROUBLE_KINDS = 9;

  @Test
  void everyJobIsAnsweredOnATimberFleet() {
    play(Deployment.timberFleet());
  }

  @Test
  void everyJobIsAnsweredOnAPayrollFleet() {
    play(Deployment.payrollFleet());
  }

  @Test
  void everyJobIsAnsweredWithTheSmallestControllers() {
    play(Deployment.payrollLean());
  }

  private static void play(Deployment deployment) {
    for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      day(deployment, seed);
    }
  }

  private static void day(Deployment deployment, long seed) {
    SimulatedCluster cluster =
        new SimulatedCluster(new SplittableRandom(seed), MACHINES, deployment);
    cluster.net.largestAnswer = HttpClient.MAX_RESPONSE;
    UserAnswerLog answers = new UserAnswerLog(cluster);
    submitAll(cluster, answers);
    List<Integer> kinds = new ArrayList<>();
    for (int i = 0; i < TROUBLES; i++) {
      long at = TROUBLES_FROM_MS + i * TROUBLES_EVERY_MS;
      for (int each = 0; each < 2; each++) {
        int kind = (int) cluster.time.between(0, TROUBLE_KINDS - 1);
        kinds.add(kind);
        cluster.time.after(
            at + cluster.time.between(0, 10_000), () -> trouble(cluster, answers, kind));
      }
    }
    cluster.time.runUntil(ENDS_MS);
    LOG.warn(
        "seed {} with {} machines, troubles {}: longest spell {}, {} of {} jobs ended, answers {},"
            + " {} refused for limits, {} too large, broken {}",
        seed,
        MACHINES,
        kinds,
        answers.longest(),
        answers.ended(),
        answers.accepted(),
        answers.statuses(),
        cluster.state.refusedForLimits(),
        cluster.net.tooLarge,
        cluster.rules.broken.stream().limit(5).toList());
    assertEquals(List.of(), cluster.rules.broken, "seed " + seed + ", troubles " + kinds);
    assertTrue(
        answers.longest().ms() < UserAnswerLog.FORGOTTEN_MS,
        "seed " + seed + ", troubles " + kinds + ": " + answers.longest());
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
            SimulatedCluster.Job job = cluster.define("job-" + id, one -> one.runMs = 4000);
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
                  cluster.define(
                      "job-" + id,
                      one -> {
                        one.tasks = Math.max(1, slots / 12);
                        one.cpus = 8;
                        one.runMs = 30_000;
                        one.image = "img-" + id % 4;
                      })));
    }
  }

  private static void trouble(SimulatedCluster cluster, UserAnswerLog answers, int kind) {
    SimulatedTime time = cluster.time;
    String label = cluster.labels().get((int) time.between(0, 2));
    switch (kind) {
      case 0 -> {
        cluster.trouble(20_000);
        cluster.labels().forEach(one -> cluster.kill(one, time.between(3000, 8000)));
      }
      case 1 -> {
        cluster.trouble(60_000);
        cluster.labels().stream()
            .filter(l -> !l.equals(label))
            .forEach(l -> cluster.kill(l, 50_000));
      }
      case 2 -> {
        cluster.trouble(60_000);
        cluster.state.outage(60_000);
      }
      case 3 -> {
        cluster.trouble(70_000);
        cluster.isolate(label, 70_000);
      }
      case 4 -> {
        cluster.trouble(70_000);
        cluster.lose(label, 70_000, "state", "peers");
      }
      case 5 -> {
        cluster.trouble(30_000);
        cluster.net.slow(SimulatedCluster.STATE, 400, 30_000);
      }
      case 6 -> {
        cluster.trouble(5000);
        for (SimulatedWorker machine : List.copyOf(cluster.cloud.machines.values())) {
          if (time.chance(0.5)) {
            cluster.cloud.remove(machine.id);
          }
        }
      }
      case 7 -> {
        cluster.trouble(70_000);
        cluster.freeze(label, 70_000);
      }
      default -> {
        cluster.trouble(45_000);
        cluster.state.lateWrites = 0.3;
        time.after(30_000, () -> cluster.state.lateWrites = 0);
      }
    }
  }
}
