package org.fieldtrestle.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.transport.Http;
import org.junit.jupiter.api.Test;

/** Questions and repeated submissions about jobs whose state here is not as elsewhere. */
class QuestionsTest {
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

  private static void assertAllEndedAreAnswered(Scene scene) {
    List<Integer> statuses = askAll(scene, "trestle-1", 1000, JOBS);
    scene.world.runUntil(scene.world.now() + 2000);
    assertEquals(JOBS, statuses.stream().filter(status -> status == 200).count());
  }

  @Test
  void allEndedJobsAreAnsweredWithinSecondsAfterARestart() {
    Scene scene = afterARestart();
    assertAllEndedAreAnswered(scene);
  }

  @Test
  void questionsAboutUnknownJobsLeaveEndedOnesTheirTurn() {
    Scene scene = afterARestart();
    // As many unknown ids before and between those that are known as could ever wait.
    askAll(scene, "trestle-1", 1, 900);
    askAll(scene, "trestle-1", 10_000_000, 2500);
    assertAllEndedAreAnswered(scene);
  }

  /** Each page of ends begins where the one before ended; reads are not short here. */
  @Test
  void questionsAboutLowIdsWithoutEndLeaveHighOnesTheirTurn() {
    Scene scene = afterARestart();
    for (int i = 0; i < 500; i++) {
      int low = i % 2 == 0 ? 10 : 100; // in the order of keys before all that have ended
      scene.world.after(i * 10L, () -> askAll(scene, "trestle-1", low, 1));
    }
    scene.world.runUntil(scene.world.now() + 1000);
    List<Integer> statuses = askAll(scene, "trestle-1", 1000 + JOBS - 1, 1);
    scene.world.runUntil(scene.world.now() + 4000);
    assertEquals(List.of(200), statuses);
  }

  /** A question that came first must not make a later one say that there is no such job. */
  @Test
  void aReadingSentBeforeAJobWasAcceptedSaysNothingToWhoAsksAfterwards() {
    Scene scene = new Scene(new SplittableRandom(7), 4, Deployment.timberFleet());
    scene.world.runUntil(20_000);
    scene.stateAnswerLateMs =
        (label, path, body) -> label.equals("trestle-0") && path.startsWith("/kv") ? 1000 : 0;
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

  private record Answered(Http.Response response, long afterMs) {}

  /** Asks one controller and returns what comes within ten seconds. */
  private static Answered ask(Scene scene, String label, String method, String path, byte[] body) {
    long asked = scene.world.now();
    Answered[] answered = {null};
    scene.net.deliver(
        scene.address(label),
        method,
        path,
        body,
        response -> answered[0] = new Answered(response, scene.world.now() - asked));
    scene.world.runUntil(asked + 10_000);
    return answered[0];
  }

  private static Answered ask(Scene scene, String label, String job) {
    return ask(scene, label, "GET", "/v2/runs/" + job, Http.Response.EMPTY);
  }

  @Test
  void whatIsReadTooLateServesTheNextQuestion() {
    Scene scene = afterARestart();
    scene.stateAnswerLateMs = (label, path, body) -> path.contains("ft/final/") ? 2500 : 0;
    scene.kill("trestle-1", 100); // it has read nothing yet once it is back
    scene.world.runUntil(scene.world.now() + 200);
    while (!scene.ready("trestle-1")) {
      scene.world.runUntil(scene.world.now() + 10);
    }
    Answered first = ask(scene, "trestle-1", "job-1000");
    assertEquals(503, first.response().status());
    assertTrue(first.afterMs() < 2000, "the user still waits: " + first.afterMs());
    Answered next = ask(scene, "trestle-1", "job-1000");
    assertEquals(200, next.response().status());
    assertEquals(0, next.afterMs());
  }

  private static boolean comparison(String path, byte[] body) {
    return path.equals("/commit") && Json.parseOrEmpty(body).path("apply").isEmpty();
  }

  @Test
  void aWatchAnswersQuestionsWhoseOwnRequestIsLost() {
    Scene scene = new Scene(new SplittableRandom(7), 4, Deployment.timberFleet());
    scene.submit("job-77", job -> job.runMs = 60_000);
    scene.world.runUntil(20_000);
    scene.stateAnswerLateMs = (label, path, body) -> comparison(path, body) ? 10_000 : 0;
    // Others change something all the time, so that watches are answered.
    for (int i = 0; i < 40; i++) {
      int number = 100 + i;
      scene.world.after(i * 250L, () -> scene.submit("job-" + number, job -> {}));
    }
    Answered answered = ask(scene, "trestle-1", "job-77");
    assertEquals(200, answered.response().status());
    assertTrue(answered.afterMs() < 2000, "the user still waits: " + answered.afterMs());
  }

  /** Open connections are never moved: whoever stays with it would not get any answer. */
  @Test
  void aControllerThatCannotFollowSendsItsUsersElsewhere() {
    Scene scene = new Scene(new SplittableRandom(7), 4, Deployment.timberFleet());
    scene.submit("job-77", job -> job.runMs = 60_000);
    scene.world.runUntil(20_000);
    scene.stateAnswerLateMs =
        (label, path, body) -> label.equals("trestle-1") && path.startsWith("/watch") ? 60_000 : 0;
    scene.submit("job-78", job -> {}); // so that there is something to follow
    scene.world.runUntil(21_000);
    Answered answered = ask(scene, "trestle-1", "job-77");
    assertEquals(503, answered.response().status());
    assertTrue(answered.response().close(), "the next question goes elsewhere");
    assertEquals(200, ask(scene, "trestle-0", "job-77").response().status());
  }

  private static final int LONG_NAME_BYTES = 500;

  /** What a job's record holds beside its description where it is one range, and the brackets. */
  private static final int ONE_RANGE_BYTES = 130;

  /** How a job is split depends on how many masters are known, and with that its record's size. */
  @Test
  void aRepeatThatWouldBeTooLargeTodayIsStillKnown() {
    Scene scene = new Scene(new SplittableRandom(7), 30, Deployment.payrollFleet());
    Scene.Job job = scene.define("job-77", one -> one.tasks = 300);
    ObjectNode body = (ObjectNode) Json.parseOrEmpty(job.body);
    ArrayNode types = body.putArray("rigs").add("big");
    int room = (int) (scene.deployment.state().valueKb() * 1024) - ONE_RANGE_BYTES;
    while (Json.bytes(body).length + LONG_NAME_BYTES < room) {
      types.add("x".repeat(LONG_NAME_BYTES));
    }
    types.add("x".repeat(Math.max(1, room - Json.bytes(body).length - 3)));
    job.body = Json.bytes(body);
    acceptAsSoonAsReady(scene, job, "trestle-0"); // while it knows of no other master
    scene.world.runUntil(300_000);
    for (String label : scene.labels()) {
      Answered repeated = ask(scene, label, "POST", "/v2/runs", job.body);
      assertEquals(200, repeated.response().status(), label);
    }
    byte[] another = Json.bytes(body.deepCopy().put("uid", "job-78"));
    assertEquals(
        400,
        ask(scene, "trestle-0", "POST", "/v2/runs", another).response().status(),
        "a new one is too large by now");
  }

  private static void acceptAsSoonAsReady(Scene scene, Scene.Job job, String label) {
    while (!scene.ready(label)) {
      scene.world.runUntil(scene.world.now() + 10);
    }
    assertEquals(201, ask(scene, label, "POST", "/v2/runs", job.body).response().status());
  }
}
