package org.fieldtrestle.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.transport.Http;
import org.junit.jupiter.api.Test;

/** Questions and repeated submissions about jobs whose state here is not as elsewhere. */
class EndedJobsScenarioTest {
  private static final int JOBS = 400;

  private static List<Integer> askAll(Scene scene, String label, int firstId, int count) {
    List<Integer> statuses = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      scene.net.deliver(
          scene.address(label),
          "GET",
          "/v2/runs/job-" + (firstId + i),
          Http.Response.EMPTY,
          response -> statuses.add(response.status()));
    }
    return statuses;
  }

  /** A scene in which many jobs have been done, and whose controllers have forgotten how. */
  private static Scene afterARestart() {
    Scene scene = new Scene(new SplittableRandom(5), 60, Deployment.timberFleet());
    for (int i = 0; i < JOBS; i++) {
      int number = i;
      scene.world.after(
          2000 + i * 300L, () -> scene.submit("job-" + (1000 + number), job -> job.runMs = 2500));
    }
    scene.world.runUntil(240_000);
    assertEquals(JOBS, scene.rules.done);
    scene.labels().forEach(label -> scene.kill(label, 300));
    scene.world.runUntil(246_000);
    return scene;
  }

  @Test
  void allEndedJobsAreAnsweredWithinSecondsAfterARestart() {
    Scene scene = afterARestart();
    List<Integer> statuses = askAll(scene, "trestle-1", 1000, JOBS);
    scene.world.runUntil(scene.world.now() + 2000);
    assertEquals(JOBS, statuses.stream().filter(status -> status == 200).count());
  }

  @Test
  void questionsAboutUnknownJobsLeaveEndedOnesTheirTurn() {
    Scene scene = afterARestart();
    // As many unknown ids before and between those that are known as could ever wait.
    askAll(scene, "trestle-1", 1, 900);
    askAll(scene, "trestle-1", 10_000_000, 2500);
    List<Integer> statuses = askAll(scene, "trestle-1", 1000, JOBS);
    scene.world.runUntil(scene.world.now() + 2000);
    assertEquals(JOBS, statuses.stream().filter(status -> status == 200).count());
  }

  /** A question that came first must not make a later one say that there is no such job. */
  @Test
  void aReadingSentBeforeAJobWasAcceptedSaysNothingToWhoAsksAfterwards() {
    Scene scene = new Scene(new SplittableRandom(7), 4, Deployment.timberFleet());
    scene.world.runUntil(20_000);
    scene.readAnswersLateMs.put("trestle-0", 1000L);
    Scene.Job job = scene.define("job-77", one -> one.runMs = 60_000);
    List<Integer> early = askAll(scene, "trestle-0", 77, 1);
    List<String> late = new ArrayList<>();
    // Its reading is under way while the job is accepted and called off at another controller.
    scene.world.after(100, () -> acceptAndCancel(scene, job, () -> askUntilKnown(scene, late)));
    scene.world.runUntil(40_000);
    assertEquals(1, early.size());
    assertTrue(!late.isEmpty() && !late.contains("404"), late.toString());
  }

  private static void acceptAndCancel(Scene scene, Scene.Job job, Runnable cancelled) {
    scene.cancelledByUser.add(job.id);
    scene.net.deliver(
        scene.address("trestle-1"),
        "POST",
        "/v2/runs",
        job.body,
        accepted ->
            scene.net.deliver(
                scene.address("trestle-1"),
                "POST",
                "/v2/runs/" + job.id + "/abort",
                Http.Response.EMPTY,
                response -> {
                  if (response.status() == 200) {
                    cancelled.run();
                  }
                }));
  }

  private static void askUntilKnown(Scene scene, List<String> answers) {
    for (int i = 0; i < 40; i++) {
      scene.world.after(
          i * 50L,
          () ->
              scene.net.deliver(
                  scene.address("trestle-0"),
                  "GET",
                  "/v2/runs/job-77",
                  Http.Response.EMPTY,
                  response ->
                      answers.add(
                          response.status() == 200
                              ? Json.parseOrEmpty(response.body()).path("stage").asText()
                              : String.valueOf(response.status()))));
    }
  }
}
