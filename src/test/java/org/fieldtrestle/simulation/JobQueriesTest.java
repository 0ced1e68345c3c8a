package org.fieldtrestle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.transport.Http;
import org.junit.jupiter.api.Test;

/** Questions and repeated submissions about jobs whose state here is not as elsewhere. */
class JobQueriesTest {
  private static final int JOBS = 400;

  private static List<Integer> askAll(
      SimulatedCluster cluster, String label, int firstId, int count) {
    List<Integer> statuses = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      cluster.network.deliver(
          ClusterLayout.address(label),
          "GET",
          "/v2/runs/job-" + (firstId + i),
          Http.Response.EMPTY,
          response -> statuses.add(response.status()));
    }
    return statuses;
  }

  /** A cluster in which many jobs have been done, and whose controllers have forgotten how. */
  private static SimulatedCluster afterARestart() {
    SimulatedCluster cluster =
        SimulatedCluster.builder()
            .seed(5)
            .machines(60)
            .deployment(Deployment.largeWithLongIntervals())
            .start();
    for (int i = 0; i < JOBS; i++) {
      int number = i;
      cluster.time.after(
          2000 + i * 300L,
          () -> cluster.users.submit("job-" + (1000 + number), job -> job.runMs(2500)));
    }
    cluster.time.runUntil(240_000);
    assertEquals(JOBS, cluster.invariants.doneJobs());
    cluster.labels().forEach(label -> cluster.faults.kill(label, 300));
    cluster.time.runUntil(246_000);
    return cluster;
  }

  private static void assertAllEndedAreAnswered(SimulatedCluster cluster) {
    List<Integer> statuses = askAll(cluster, "trestle-1", 1000, JOBS);
    cluster.time.runUntil(cluster.time.now() + 2000);
    assertEquals(JOBS, statuses.stream().filter(status -> status == 200).count());
  }

  @Test
  void allFinishedJobsAreAnsweredWithinSecondsAfterARestart() {
    SimulatedCluster cluster = afterARestart();
    assertAllEndedAreAnswered(cluster);
  }

  @Test
  void finishedJobsAreAnsweredDuringQueriesAboutUnknownJobs() {
    SimulatedCluster cluster = afterARestart();
    // As many unknown ids before and between those that are known as could ever wait.
    askAll(cluster, "trestle-1", 1, 900);
    askAll(cluster, "trestle-1", 10_000_000, 2500);
    assertAllEndedAreAnswered(cluster);
  }

  /** Each page of ends begins where the one before ended; reads are not short here. */
  @Test
  void finishedJobOfAHighIdIsAnsweredDuringQueriesAboutLowIds() {
    SimulatedCluster cluster = afterARestart();
    for (int i = 0; i < 500; i++) {
      int low = i % 2 == 0 ? 10 : 100; // in the order of keys before all that have ended
      cluster.time.after(i * 10L, () -> askAll(cluster, "trestle-1", low, 1));
    }
    cluster.time.runUntil(cluster.time.now() + 1000);
    List<Integer> statuses = askAll(cluster, "trestle-1", 1000 + JOBS - 1, 1);
    cluster.time.runUntil(cluster.time.now() + 4000);
    assertEquals(List.of(200), statuses);
  }

  /** A question that came first must not make a later one say that there is no such job. */
  @Test
  void readSentBeforeAnAcceptanceDoesNotAnswerLaterQueries() {
    SimulatedCluster cluster =
        SimulatedCluster.builder()
            .seed(7)
            .machines(4)
            .deployment(Deployment.largeWithLongIntervals())
            .start();
    cluster.time.runUntil(20_000);
    cluster.delayStoreAnswers(
        (label, path, body) -> label.equals("trestle-0") && path.startsWith("/kv") ? 1000 : 0);
    SimulatedJob job = cluster.users.define("job-77", one -> one.runMs(60_000));
    List<Integer> early = askAll(cluster, "trestle-0", 77, 1);
    List<String> late = new ArrayList<>();
    // Its reading is under way while the job is accepted and called off at another controller.
    cluster.time.after(
        100, () -> acceptAndCancel(cluster, job, () -> askUntilKnown(cluster, late)));
    cluster.time.runUntil(40_000);
    assertEquals(1, early.size());
    assertTrue(!late.isEmpty() && !late.contains("404"), late.toString());
  }

  private static void acceptAndCancel(
      SimulatedCluster cluster, SimulatedJob job, Runnable cancelled) {
    cluster.users.noteCancellation(job.id());
    cluster.network.deliver(
        ClusterLayout.address("trestle-1"),
        "POST",
        "/v2/runs",
        job.body(),
        accepted ->
            cluster.network.deliver(
                ClusterLayout.address("trestle-1"),
                "POST",
                "/v2/runs/" + job.id() + "/abort",
                Http.Response.EMPTY,
                response -> {
                  if (response.status() == 200) {
                    cancelled.run();
                  }
                }));
  }

  private static void askUntilKnown(SimulatedCluster cluster, List<String> answers) {
    for (int i = 0; i < 40; i++) {
      cluster.time.after(
          i * 50L,
          () ->
              cluster.network.deliver(
                  ClusterLayout.address("trestle-0"),
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
  private static Answered ask(
      SimulatedCluster cluster, String label, String method, String path, byte[] body) {
    long asked = cluster.time.now();
    Answered[] answered = {null};
    cluster.network.deliver(
        ClusterLayout.address(label),
        method,
        path,
        body,
        response -> answered[0] = new Answered(response, cluster.time.now() - asked));
    cluster.time.runUntil(asked + 10_000);
    return answered[0];
  }

  private static Answered ask(SimulatedCluster cluster, String label, String job) {
    return ask(cluster, label, "GET", "/v2/runs/" + job, Http.Response.EMPTY);
  }

  @Test
  void nextQueryIsAnsweredByAReadThatWasTooLateForTheFirst() {
    SimulatedCluster cluster = afterARestart();
    cluster.delayStoreAnswers((label, path, body) -> path.contains("ft/final/") ? 2500 : 0);
    cluster.faults.kill("trestle-1", 100); // it has read nothing yet once it is back
    cluster.time.runUntil(cluster.time.now() + 200);
    while (!cluster.isReady("trestle-1")) {
      cluster.time.runUntil(cluster.time.now() + 10);
    }
    Answered first = ask(cluster, "trestle-1", "job-1000");
    assertEquals(503, first.response().status());
    assertTrue(first.afterMs() < 2000, "the user still waits: " + first.afterMs());
    Answered next = ask(cluster, "trestle-1", "job-1000");
    assertEquals(200, next.response().status());
    assertEquals(0, next.afterMs());
  }

  private static boolean comparison(String path, byte[] body) {
    return path.equals("/commit") && Json.parseOrEmpty(body).path("apply").isEmpty();
  }

  @Test
  void queryIsAnsweredByAWatchWhenItsOwnRequestIsLate() {
    SimulatedCluster cluster =
        SimulatedCluster.builder()
            .seed(7)
            .machines(4)
            .deployment(Deployment.largeWithLongIntervals())
            .start();
    cluster.users.submit("job-77", job -> job.runMs(60_000));
    cluster.time.runUntil(20_000);
    cluster.delayStoreAnswers((label, path, body) -> comparison(path, body) ? 10_000 : 0);
    // Others change something all the time, so that watches are answered.
    for (int i = 0; i < 40; i++) {
      int number = 100 + i;
      cluster.time.after(i * 250L, () -> cluster.users.submit("job-" + number, job -> {}));
    }
    Answered answered = ask(cluster, "trestle-1", "job-77");
    assertEquals(200, answered.response().status());
    assertTrue(answered.afterMs() < 2000, "the user still waits: " + answered.afterMs());
  }

  /** Load balancers do not move open connections: a user who kept this one would get no answer. */
  @Test
  void controllerWhoseWatchesAreLateClosesConnectionsOfUsers() {
    SimulatedCluster cluster =
        SimulatedCluster.builder()
            .seed(7)
            .machines(4)
            .deployment(Deployment.largeWithLongIntervals())
            .start();
    cluster.users.submit("job-77", job -> job.runMs(60_000));
    cluster.time.runUntil(20_000);
    cluster.delayStoreAnswers(
        (label, path, body) -> label.equals("trestle-1") && path.startsWith("/watch") ? 60_000 : 0);
    cluster.users.submit("job-78", job -> {}); // so that there is something to follow
    cluster.time.runUntil(21_000);
    Answered answered = ask(cluster, "trestle-1", "job-77");
    assertEquals(503, answered.response().status());
    assertTrue(answered.response().closeConnection(), "the next question goes elsewhere");
    assertEquals(200, ask(cluster, "trestle-0", "job-77").response().status());
  }

  private static final int LONG_NAME_BYTES = 500;

  /** What a job's record holds beside its description where it is one range, and the brackets. */
  private static final int ONE_RANGE_BYTES = 130;

  /** How a job is split depends on how many shards are known, and with that its record's size. */
  @Test
  void repeatedSubmissionIsKnownThoughItsRecordWouldBeTooLargeNow() {
    SimulatedCluster cluster =
        SimulatedCluster.builder()
            .seed(7)
            .machines(30)
            .deployment(Deployment.largeWithShortIntervals())
            .start();
    SimulatedJob job = cluster.users.define("job-77", one -> one.tasks(300));
    ObjectNode body = (ObjectNode) Json.parseOrEmpty(job.body());
    ArrayNode types = body.putArray("rigs").add("big");
    int room =
        (int) (cluster.deployment().keyValueStoreLimits().maxValueKb() * 1024) - ONE_RANGE_BYTES;
    while (Json.bytes(body).length + LONG_NAME_BYTES < room) {
      types.add("x".repeat(LONG_NAME_BYTES));
    }
    types.add("x".repeat(Math.max(1, room - Json.bytes(body).length - 3)));
    job.body(Json.bytes(body));
    acceptAsSoonAsReady(cluster, job, "trestle-0"); // while it knows of no other shard
    cluster.time.runUntil(300_000);
    for (String label : cluster.labels()) {
      Answered repeated = ask(cluster, label, "POST", "/v2/runs", job.body());
      assertEquals(200, repeated.response().status(), label);
    }
    byte[] another = Json.bytes(body.deepCopy().put("uid", "job-78"));
    assertEquals(
        400,
        ask(cluster, "trestle-0", "POST", "/v2/runs", another).response().status(),
        "a new one is too large by now");
  }

  private static void acceptAsSoonAsReady(
      SimulatedCluster cluster, SimulatedJob job, String label) {
    while (!cluster.isReady(label)) {
      cluster.time.runUntil(cluster.time.now() + 10);
    }
    assertEquals(201, ask(cluster, label, "POST", "/v2/runs", job.body()).response().status());
  }
}
