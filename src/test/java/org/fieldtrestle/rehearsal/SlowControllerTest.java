package org.fieldtrestle.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Controllers whose processor is too small for what they are asked: every message is handled late.
 * The rules hold, and once there is less to do all jobs end.
 */
class SlowControllerTest {
  private static final int JOBS = 6;
  private static final long STEADY_MS = 30_000;

  /** A turn of so many milliseconds leaves a controller busy for most of the time. */
  private static final long SLOW_TURN_MS = 8;

  /** Some jobs run, and every turn of a controller begins to take long. */
  private static Scene busyScene(long seed, int tasks, long runMs) {
    Scene scene = new Scene(new SplittableRandom(seed), 12);
    for (int i = 0; i < JOBS; i++) {
      scene.submit(
          "job-" + i,
          job -> {
            job.tasks = tasks;
            job.runMs = runMs;
          });
    }
    scene.world.runUntil(STEADY_MS);
    scene.labels().forEach(label -> scene.slowDown(label, SLOW_TURN_MS));
    return scene;
  }

  private static Scene busyScene(long seed) {
    return busyScene(seed, 10, 20_000);
  }

  private static void assertAllDone(Scene scene) {
    assertEquals(List.of(), scene.rules.broken);
    for (Scene.Job job : scene.jobs.values()) {
      String expected = scene.cancelledByUser.contains(job.id) ? "cancelled" : "done";
      assertEquals(expected, scene.rules.lastOf(job.id), job.id);
    }
  }

  @Test
  void slowTurnsAloneLoseNoTask() {
    Scene scene = busyScene(41);
    int started = scene.rules.starts;
    scene.world.runUntil(STEADY_MS + 250_000);
    assertAllDone(scene);
    assertTrue(started > 0 && scene.rules.starts <= JOBS * 10, "nothing ran again");
  }

  @Test
  void slowTurnsAndAChangeOfLeaderKeepTheRules() {
    for (long seed = 1; seed <= 3; seed++) {
      Scene scene = busyScene(seed);
      scene.trouble(60_000);
      scene.kill("trestle-1", 30_000);
      scene.world.after(5000, () -> scene.cancel(scene.jobs.get("job-2")));
      scene.world.runUntil(STEADY_MS + 350_000);
      assertAllDone(scene);
    }
  }

  @Test
  void slowTurnsAndAnOutageThatOutlastsLeasesKeepTheRules() {
    for (long seed = 1; seed <= 3; seed++) {
      Scene scene = busyScene(seed);
      scene.trouble(80_000);
      scene.cancel(scene.jobs.get("job-1"));
      scene.world.after(500, () -> scene.state.outage(50_000));
      scene.world.runUntil(STEADY_MS + 400_000);
      assertAllDone(scene);
    }
  }

  /**
   * It loses the state service and its peers, but not its workers, and stands still for a while.
   * What workers sent it before must not be answered by the time at which it came.
   */
  @Test
  void aSlowControllerThatStalledAnswersNoReportPastItsLease() {
    for (long seed = 1; seed <= 3; seed++) {
      for (long stallMs : new long[] {4000, 12_000, 32_000}) {
        Scene scene = busyScene(seed, 8, 250_000);
        long cutMs = scene.cancelMs * 3;
        scene.trouble(cutMs);
        scene.lose("trestle-0", cutMs, "state", "peers");
        scene.world.after(1000, () -> scene.cancelAt("trestle-1", scene.jobs.get("job-3")));
        scene.world.after(1500, () -> scene.cancelAt("trestle-2", scene.jobs.get("job-4")));
        scene.world.after(2000, () -> scene.freeze("trestle-0", stallMs));
        scene.world.runUntil(STEADY_MS + cutMs + 30_000);
        assertEquals(List.of(), scene.rules.broken, "seed " + seed + ", stall " + stallMs);
        assertEquals(0, scene.rules.on("job-3") + scene.rules.on("job-4"));
      }
    }
  }

  @Test
  void aStormOfQuestionsToSlowControllersForgetsNoJob() {
    Scene scene = busyScene(43);
    scene.trouble(40_000);
    for (int i = 0; i < 4000; i++) {
      String id = i % 2 == 0 ? "job-" + i % JOBS : "job-" + (1000 + i);
      scene.world.after(i * 8L, () -> scene.ask(id));
    }
    scene.world.runUntil(STEADY_MS + 20_000);
    assertTrue(
        scene.labels().stream().anyMatch(label -> scene.lagMs(label) > 100), "they are behind");
    scene.world.runUntil(STEADY_MS + 400_000);
    assertAllDone(scene);
  }
}
