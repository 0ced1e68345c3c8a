package org.fieldtrestle.rehearsal;

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

  /** What the state service does, given the scene and for how long. */
  private interface Failure {
    void begin(Scene scene, long ms);
  }

  @Test
  void whereTheStateServiceRefusesEverybody() {
    sweep((scene, ms) -> scene.state.outage(ms));
  }

  @Test
  void whereTheStateServiceRefusesOneController() {
    sweep((scene, ms) -> scene.isolate("trestle-" + scene.world.between(0, 2), ms));
  }

  @Test
  void whereTheStateServiceIsSlow() {
    sweep((scene, ms) -> scene.net.slow(Scene.STATE, 700, ms));
  }

  private static void sweep(Failure failure) {
    List<String> failed = new ArrayList<>();
    for (int offset = 0; offset <= LAST_MS; offset += STEP_MS) {
      play(failure, offset, failed);
    }
    assertEquals(List.of(), failed);
  }

  private static void play(Failure failure, int offsetMs, List<String> failed) {
    Scene scene = new Scene(new SplittableRandom(offsetMs + 1), MACHINES, Deployment.timberFleet());
    scene.net.largestAnswer = HttpClient.MAX_RESPONSE;
    List<Scene.Job> jobs = submitJobs(scene);
    scene.world.runUntil(SETTLED_MS);
    List<Scene.Job> running =
        jobs.stream().filter(job -> scene.rules.on(job.id) > 0).limit(CANCELLED).toList();
    assertEquals(CANCELLED, running.size(), "enough jobs run");
    long failsMs = scene.cancelMs + 12_000;
    scene.trouble(failsMs + offsetMs);
    for (int i = 0; i < CANCELLED; i++) {
      Scene.Job job = running.get(i);
      scene.world.after(i * CANCELLED_WITHIN_MS / CANCELLED, () -> scene.cancel(job));
    }
    scene.world.after(offsetMs, () -> failure.begin(scene, failsMs));
    scene.world.runUntil(SETTLED_MS + failsMs + AFTERWARDS_MS);
    String where = "failing from " + offsetMs + " ms on";
    LOG.info(
        "{}: {} starts ordered after a confirmation, the latest {} ms after, broken {}",
        where,
        scene.rules.orderedAfterCancel,
        scene.rules.orderedLatestAfterCancelMs,
        scene.rules.broken.stream().limit(5).toList());
    if (!scene.rules.broken.isEmpty()) {
      failed.add(where + ": " + scene.rules.broken.size() + " times " + scene.rules.broken.get(0));
    }
    if (scene.rules.orderedLatestAfterCancelMs > scene.cancelMs - scene.leaseMs) {
      failed.add(where + ": a start after " + scene.rules.orderedLatestAfterCancelMs + " ms");
    }
    for (Scene.Job job : running) {
      if (scene.rules.on(job.id) > 0) {
        failed.add(where + ": " + job.id + " is still on machines");
      }
    }
  }

  private static List<Scene.Job> submitJobs(Scene scene) {
    int tasks = MACHINES * CloudStandIn.CPUS / CPUS_PER_TASK / JOBS;
    List<Scene.Job> jobs = new ArrayList<>();
    for (int i = 1; i <= JOBS; i++) {
      jobs.add(
          scene.submit(
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
