package org.fieldtrestle.rehearsal;

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
    Scene scene = new Scene(new SplittableRandom(seed), MACHINES, deployment);
    scene.net.largestAnswer = HttpClient.MAX_RESPONSE;
    AnswerLog answers = new AnswerLog(scene);
    submitAll(scene, answers);
    List<Integer> kinds = new ArrayList<>();
    for (int i = 0; i < TROUBLES; i++) {
      long at = TROUBLES_FROM_MS + i * TROUBLES_EVERY_MS;
      for (int each = 0; each < 2; each++) {
        int kind = (int) scene.world.between(0, TROUBLE_KINDS - 1);
        kinds.add(kind);
        scene.world.after(at + scene.world.between(0, 10_000), () -> trouble(scene, answers, kind));
      }
    }
    scene.world.runUntil(ENDS_MS);
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
        scene.state.refusedForLimits(),
        scene.net.tooLarge,
        scene.rules.broken.stream().limit(5).toList());
    assertEquals(List.of(), scene.rules.broken, "seed " + seed + ", troubles " + kinds);
    assertTrue(
        answers.longest().ms() < AnswerLog.FORGOTTEN_MS,
        "seed " + seed + ", troubles " + kinds + ": " + answers.longest());
  }

  /** Arrays that fill most of the fleet, and single tasks four a second, some called off. */
  private static void submitAll(Scene scene, AnswerLog answers) {
    World world = scene.world;
    int number = 0;
    for (long at = 2000; at < 380_000; at += 250) {
      int id = ++number;
      world.after(
          at,
          () -> {
            Scene.Job job = scene.define("job-" + id, one -> one.runMs = 4000);
            answers.submit(job);
            if (world.chance(0.25)) {
              world.after(world.between(100, 12_000), () -> answers.cancel(job));
            }
          });
    }
    int slots = MACHINES * CloudStandIn.CPUS / 8;
    for (long at = 2000; at < 360_000; at += 4000) {
      int id = ++number;
      world.after(
          at,
          () ->
              answers.submit(
                  scene.define(
                      "job-" + id,
                      one -> {
                        one.tasks = Math.max(1, slots / 12);
                        one.cpus = 8;
                        one.runMs = 30_000;
                        one.image = "img-" + id % 4;
                      })));
    }
  }

  private static void trouble(Scene scene, AnswerLog answers, int kind) {
    World world = scene.world;
    String label = scene.labels().get((int) world.between(0, 2));
    switch (kind) {
      case 0 -> {
        scene.trouble(20_000);
        scene.labels().forEach(one -> scene.kill(one, world.between(3000, 8000)));
      }
      case 1 -> {
        scene.trouble(60_000);
        scene.labels().stream().filter(l -> !l.equals(label)).forEach(l -> scene.kill(l, 50_000));
      }
      case 2 -> {
        scene.trouble(60_000);
        scene.state.outage(60_000);
      }
      case 3 -> {
        scene.trouble(70_000);
        scene.isolate(label, 70_000);
      }
      case 4 -> {
        scene.trouble(70_000);
        scene.lose(label, 70_000, "state", "peers");
      }
      case 5 -> {
        scene.trouble(30_000);
        scene.net.slow(Scene.STATE, 400, 30_000);
      }
      case 6 -> {
        scene.trouble(5000);
        for (WorkerStandIn machine : List.copyOf(scene.cloud.machines.values())) {
          if (world.chance(0.5)) {
            scene.cloud.remove(machine.id);
          }
        }
      }
      case 7 -> {
        scene.trouble(70_000);
        scene.freeze(label, 70_000);
      }
      default -> {
        scene.trouble(45_000);
        scene.state.lateWrites = 0.3;
        world.after(30_000, () -> scene.state.lateWrites = 0);
      }
    }
  }
}
