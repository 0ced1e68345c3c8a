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

/**
 * Queries and repeated submissions that reach a controller whose knowledge of the job differs from
 * that of the other controllers.
 */
class JobQueriesTest {
  private static final int JOBS = 400;

  private static List<Integer> queryAll(
      SimulatedCluster cluster, String label, int firstNumber, int count) {
    List<Integer> statuses = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      cluster.network.deliver(
          ClusterLayout.address(label),
          "GET",
          "/v2/runs/job-" + (firstNumber + i),
          Http.Response.EMPTY,
          response -> statuses.add(response.status()));
    }
    return statuses;
  }

  /**
   * Returns a cluster in which many jobs are done, and whose controllers were restarted since and
   * do not remember how these jobs ended.
   */
  private static SimulatedCluster startClusterWithFinishedJobs() {
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

  private static void assertAllFinishedJobsAreAnswered(SimulatedCluster cluster) {
    List<Integer> statuses = queryAll(cluster, "trestle-1", 1000, JOBS);
    cluster.time.runUntil(cluster.time.now() + 2000);
    assertEquals(JOBS, statuses.stream().filter(status -> status == 200).count());
  }

  @Test
  void allFinishedJobsAreAnsweredWithinSecondsAfterARestart() {
    SimulatedCluster cluster = startClusterWithFinishedJobs();
    assertAllFinishedJobsAreAnswered(cluster);
  }

  @Test
  void finishedJobsAreAnsweredDuringQueriesAboutUnknownJobs() {
    SimulatedCluster cluster = startClusterWithFinishedJobs();
    // Almost as many jobs have pending queries as a controller admits. The unknown jobs sort before
    // and between the known ones.
    queryAll(cluster, "trestle-1", 1, 900);
    queryAll(cluster, "trestle-1", 10_000_000, 2500);
    assertAllFinishedJobsAreAnswered(cluster);
  }

  /**
   * Queries about low ids do not keep a controller from reading how a job of a high id ended,
   * because each page of finished jobs begins where the previous page ended. The rate limit allows
   * enough reads in this test.
   */
  @Test
  void finishedJobOfAHighIdIsAnsweredDuringQueriesAboutLowIds() {
    SimulatedCluster cluster = startClusterWithFinishedJobs();
    for (int i = 0; i < 500; i++) {
      int low = i % 2 == 0 ? 10 : 100; // sorts before the keys of all finished jobs
      cluster.time.after(i * 10L, () -> queryAll(cluster, "trestle-1", low, 1));
    }
    cluster.time.runUntil(cluster.time.now() + 1000);
    List<Integer> statuses = queryAll(cluster, "trestle-1", 1000 + JOBS - 1, 1);
    cluster.time.runUntil(cluster.time.now() + 4000);
    assertEquals(List.of(200), statuses);
  }

  /** A read that was sent for an earlier query must not answer a later query with 404. */
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
    SimulatedJob job = cluster.users.define("job-77", newJob -> newJob.runMs(60_000));
    List<Integer> earlyStatuses = queryAll(cluster, "trestle-0", 77, 1);
    List<String> lateAnswers = new ArrayList<>();
    // The read for the early query is under way while another controller accepts and cancels the
    // job.
    cluster.time.after(
        100, () -> acceptAndCancel(cluster, job, () -> queryRepeatedly(cluster, lateAnswers)));
    cluster.time.runUntil(40_000);
    assertEquals(1, earlyStatuses.size());
    assertTrue(!lateAnswers.isEmpty() && !lateAnswers.contains("404"), lateAnswers.toString());
  }

  private static void acceptAndCancel(
      SimulatedCluster cluster, SimulatedJob job, Runnable onCancelled) {
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
                    onCancelled.run();
                  }
                }));
  }

  private static void queryRepeatedly(SimulatedCluster cluster, List<String> answers) {
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

  private record TimedResponse(Http.Response response, long afterMs) {}

  /**
   * Sends a request to one controller and returns the response, {@code null} if none comes within
   * ten seconds.
   */
  private static TimedResponse send(
      SimulatedCluster cluster, String label, String method, String path, byte[] body) {
    long sentAtMs = cluster.time.now();
    TimedResponse[] answered = {null};
    cluster.network.deliver(
        ClusterLayout.address(label),
        method,
        path,
        body,
        response -> answered[0] = new TimedResponse(response, cluster.time.now() - sentAtMs));
    cluster.time.runUntil(sentAtMs + 10_000);
    return answered[0];
  }

  private static TimedResponse query(SimulatedCluster cluster, String label, String job) {
    return send(cluster, label, "GET", "/v2/runs/" + job, Http.Response.EMPTY);
  }

  @Test
  void nextQueryIsAnsweredByAReadThatWasTooLateForTheFirst() {
    SimulatedCluster cluster = startClusterWithFinishedJobs();
    cluster.delayStoreAnswers((label, path, body) -> path.contains("ft/final/") ? 2500 : 0);
    cluster.faults.kill("trestle-1", 100); // after the restart it has read no finished jobs
    cluster.time.runUntil(cluster.time.now() + 200);
    while (!cluster.isReady("trestle-1")) {
      cluster.time.runUntil(cluster.time.now() + 10);
    }
    TimedResponse first = query(cluster, "trestle-1", "job-1000");
    assertEquals(503, first.response().status());
    assertTrue(
        first.afterMs() < 2000,
        "answered while the user still waits, after ms: " + first.afterMs());
    TimedResponse next = query(cluster, "trestle-1", "job-1000");
    assertEquals(200, next.response().status());
    assertEquals(0, next.afterMs());
  }

  private static boolean isReadBarrierRequest(String path, byte[] body) {
    return path.equals("/commit") && Json.parseOrEmpty(body).path("apply").isEmpty();
  }

  @Test
  void queryIsAnsweredByAWatchWhenItsReadBarrierRequestIsLate() {
    SimulatedCluster cluster =
        SimulatedCluster.builder()
            .seed(7)
            .machines(4)
            .deployment(Deployment.largeWithLongIntervals())
            .start();
    cluster.users.submit("job-77", job -> job.runMs(60_000));
    cluster.time.runUntil(20_000);
    cluster.delayStoreAnswers((label, path, body) -> isReadBarrierRequest(path, body) ? 10_000 : 0);
    // Other users submit jobs all the time, so that watches are answered.
    for (int i = 0; i < 40; i++) {
      int number = 100 + i;
      cluster.time.after(i * 250L, () -> cluster.users.submit("job-" + number, job -> {}));
    }
    TimedResponse answered = query(cluster, "trestle-1", "job-77");
    assertEquals(200, answered.response().status());
    assertTrue(
        answered.afterMs() < 2000,
        "answered while the user still waits, after ms: " + answered.afterMs());
  }

  /**
   * Load balancers do not move open connections, so that a user who kept this connection would get
   * no answer.
   */
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
    cluster.users.submit("job-78", job -> {}); // so that there is a change to follow
    cluster.time.runUntil(21_000);
    TimedResponse answered = query(cluster, "trestle-1", "job-77");
    assertEquals(503, answered.response().status());
    assertTrue(answered.response().closeConnection(), "the next query goes to another controller");
    assertEquals(200, query(cluster, "trestle-0", "job-77").response().status());
  }

  private static final int LONG_NAME_BYTES = 500;

  /**
   * Size of the record of a job with one range apart from the job's description, including
   * brackets.
   */
  private static final int RECORD_OVERHEAD_BYTES = 130;

  /**
   * The number of known shards decides into how many ranges a job is split, and thereby how large
   * the job's record is.
   */
  @Test
  void repeatedSubmissionIsRecognizedThoughItsRecordWouldNowBeTooLarge() {
    SimulatedCluster cluster =
        SimulatedCluster.builder()
            .seed(7)
            .machines(30)
            .deployment(Deployment.largeWithShortIntervals())
            .start();
    SimulatedJob job = cluster.users.define("job-77", newJob -> newJob.tasks(300));
    ObjectNode body = (ObjectNode) Json.parseOrEmpty(job.body());
    ArrayNode types = body.putArray("rigs").add("big");
    int maxBodyBytes =
        (int) (cluster.deployment().keyValueStoreLimits().maxValueKb() * 1024)
            - RECORD_OVERHEAD_BYTES;
    while (Json.bytes(body).length + LONG_NAME_BYTES < maxBodyBytes) {
      types.add("x".repeat(LONG_NAME_BYTES));
    }
    types.add("x".repeat(Math.max(1, maxBodyBytes - Json.bytes(body).length - 3)));
    job.body(Json.bytes(body));
    submitAsSoonAsReady(cluster, job, "trestle-0"); // while the controller knows of no other shard
    cluster.time.runUntil(300_000);
    for (String label : cluster.labels()) {
      TimedResponse repeated = send(cluster, label, "POST", "/v2/runs", job.body());
      assertEquals(200, repeated.response().status(), label);
    }
    byte[] newSubmission = Json.bytes(body.deepCopy().put("uid", "job-78"));
    assertEquals(
        400,
        send(cluster, "trestle-0", "POST", "/v2/runs", newSubmission).response().status(),
        "a new job of this size is too large by now");
  }

  private static void submitAsSoonAsReady(
      SimulatedCluster cluster, SimulatedJob job, String label) {
    while (!cluster.isReady(label)) {
      cluster.time.runUntil(cluster.time.now() + 10);
    }
    assertEquals(201, send(cluster, label, "POST", "/v2/runs", job.body()).response().status());
  }
}
