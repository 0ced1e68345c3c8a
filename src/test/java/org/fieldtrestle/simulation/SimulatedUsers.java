package org.fieldtrestle.simulation;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.transport.Http;

/**
 * Users who submit jobs, query their status every few seconds and cancel them, each time at a
 * random controller that is ready. The {@link InvariantChecker} checks the answers.
 */
final class SimulatedUsers {
  private static final String JOBS_PATH = "/v2/runs";
  private static final long SUBMISSION_TIMEOUT_MS = 5000;
  private static final long QUERY_TIMEOUT_MS = 2000;
  private static final long RETRY_DELAY_MS = 1000;
  private static final int MAX_SUBMISSION_RETRIES = 600;

  /** Share of jobs that are submitted again although the first submission was accepted. */
  private static final double REPEATED_SUBMISSION_SHARE = 0.2;

  private final SimulatedCluster cluster;
  private final SimulatedTime time;
  private final Set<String> cancelledJobs = new HashSet<>();
  private double cancelledAtEndShare;

  SimulatedUsers(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.time = cluster.time;
  }

  /** Whether a user has asked to cancel a job. */
  boolean hasCancelled(String jobId) {
    return cancelledJobs.contains(jobId);
  }

  /** Records that a test itself cancels a job. */
  void recordCancellation(String jobId) {
    cancelledJobs.add(jobId);
  }

  /** Cancels this share of jobs around the time at which their last task is done. */
  void cancelAtEnd(double share) {
    cancelledAtEndShare = share;
  }

  // ---- submissions

  /**
   * Defines a job and submits it until it is accepted.
   *
   * @param configure changes properties of the job that differ from the defaults
   */
  SimulatedJob submit(String id, Consumer<SimulatedJob> configure) {
    SimulatedJob job = define(id, configure);
    submitWithRetries(job, 0);
    return job;
  }

  /** Defines a job, which workers and invariants know from then on, without submitting it. */
  SimulatedJob define(String id, Consumer<SimulatedJob> configure) {
    SimulatedJob job = new SimulatedJob(id);
    configure.accept(job);
    job.describe(time.nowMs(), cluster.invariants.faultsSoFarMs());
    cluster.jobs.put(id, job);
    return job;
  }

  /** Submits a job once that must be rejected with this status. */
  void submitUnsatisfiable(String id, byte[] body, int expectedStatus) {
    cluster.jobs.put(id, new SimulatedJob(id).unsatisfiable(true).body(body));
    call(
        "POST",
        JOBS_PATH,
        body,
        SUBMISSION_TIMEOUT_MS,
        answer -> {
          int status = answer.status();
          if (isAccepted(answer)) {
            cluster.invariants.jobAccepted(id);
          } else if (status < 429 && status != expectedStatus && status > 0) {
            cluster.invariants.report("hopeless " + id + " gets " + status);
          }
        });
  }

  /** Submits a job once to one controller. */
  void submitAt(String label, SimulatedJob job, Consumer<Http.Answer> done) {
    callAt(
        label,
        "POST",
        JOBS_PATH,
        job.body(),
        SUBMISSION_TIMEOUT_MS,
        answer -> {
          if (isAccepted(answer)) {
            cluster.invariants.jobAccepted(job.id());
          }
          done.accept(answer);
        });
  }

  private static boolean isAccepted(Http.Answer answer) {
    return answer.status() == 200 || answer.status() == 201;
  }

  private static boolean isRejected(Http.Answer answer) {
    return answer.status() == 400 || answer.status() == 422;
  }

  private void submitWithRetries(SimulatedJob job, int retries) {
    send(
        job,
        answer -> {
          if (isAccepted(answer)) {
            cluster.invariants.jobAccepted(job.id());
            poll(job);
            if (retries > 0 || time.chance(REPEATED_SUBMISSION_SHARE)) {
              time.after(time.between(1000, 60_000), () -> submitAgain(job));
            }
          } else if (isRejected(answer)) {
            cluster.invariants.report("refused " + job.id() + " with " + answer.status());
          } else if (retries < MAX_SUBMISSION_RETRIES) {
            time.after(RETRY_DELAY_MS, () -> submitWithRetries(job, retries + 1));
          }
        });
  }

  /** Repeats the submission of an accepted job, which may have ended. */
  void submitAgain(SimulatedJob job) {
    long sentAtMs = time.nowMs();
    send(
        job,
        answer -> {
          if (isRejected(answer) || answer.status() == 201) {
            cluster.invariants.report(
                "forgotten: repeated " + job.id() + " gets " + answer.status());
          } else if (answer.status() == 200) {
            cluster.invariants.answerReceived(job.id(), 200, stage(answer), sentAtMs);
          }
        });
  }

  private void send(SimulatedJob job, Consumer<Http.Answer> done) {
    call("POST", JOBS_PATH, job.body(), SUBMISSION_TIMEOUT_MS, done);
  }

  /** Called when the last task of a job is done. */
  void onLastTaskDone(SimulatedJob job) {
    if (cancelledAtEndShare > 0) {
      time.after(time.between(0, 300), () -> query(job.id()));
      time.after(time.between(0, 300), () -> submitAgain(job));
      if (time.chance(cancelledAtEndShare)) {
        time.after(time.between(0, 300), () -> cancel(job));
      }
    }
  }

  // ---- status queries

  private void poll(SimulatedJob job) {
    query(job.id());
    time.after(time.between(3000, 6000), () -> poll(job));
  }

  /** Queries the status of a job once. */
  void query(String id) {
    long sentAtMs = time.nowMs();
    call(
        "GET",
        JOBS_PATH + "/" + id,
        Http.Response.EMPTY,
        QUERY_TIMEOUT_MS,
        answer -> cluster.invariants.answerReceived(id, answer.status(), stage(answer), sentAtMs));
  }

  /**
   * Runs the simulation for two seconds and returns the status code with which one controller
   * answers a query about a job in this time, or 0 if it does not answer.
   */
  int statusAt(String label, String id) {
    int[] status = {0};
    cluster
        .controller(label)
        .handle(
            "GET",
            JOBS_PATH + "/" + id,
            Http.Response.EMPTY,
            response -> status[0] = response.status());
    time.runUntil(time.nowMs() + QUERY_TIMEOUT_MS);
    return status[0];
  }

  // ---- cancellations

  /** Cancels a job, and retries until the cancellation is confirmed. */
  void cancel(SimulatedJob job) {
    call(
        "POST",
        cancellationPath(job),
        Http.Response.EMPTY,
        SUBMISSION_TIMEOUT_MS,
        onCancellation(job, () -> cancel(job)));
  }

  /** Cancels a job at one controller, and retries until this controller confirms it. */
  void cancelAt(String label, SimulatedJob job) {
    callAt(
        label,
        "POST",
        cancellationPath(job),
        Http.Response.EMPTY,
        SUBMISSION_TIMEOUT_MS,
        onCancellation(job, () -> cancelAt(label, job)));
  }

  private static String cancellationPath(SimulatedJob job) {
    return JOBS_PATH + "/" + job.id() + "/abort";
  }

  private Consumer<Http.Answer> onCancellation(SimulatedJob job, Runnable retry) {
    long sentAtMs = time.nowMs();
    cancelledJobs.add(job.id());
    return answer -> {
      if (answer.status() == 200) {
        cluster.invariants.answerReceived(job.id(), 200, stage(answer), sentAtMs);
      } else {
        time.after(RETRY_DELAY_MS, retry);
      }
    };
  }

  // ---- requests

  private static String stage(Http.Answer answer) {
    return Json.parseOrEmpty(answer.body()).path("stage").asText();
  }

  private void call(
      String method, String path, byte[] body, long timeoutMs, Consumer<Http.Answer> done) {
    List<String> ready = cluster.labels().stream().filter(cluster::isReady).toList();
    List<String> candidates = ready.isEmpty() ? cluster.labels() : ready;
    String label = candidates.get((int) time.between(0, candidates.size() - 1));
    callAt(label, method, path, body, timeoutMs, done);
  }

  private void callAt(
      String label,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<Http.Answer> done) {
    cluster.network.call(
        ClusterLayout.REGIONAL_ZONE,
        () -> true,
        ClusterLayout.address(label),
        method,
        path,
        body,
        timeoutMs,
        outcome ->
            done.accept(
                outcome instanceof Http.Answer answer
                    ? answer
                    : new Http.Answer(0, Http.Response.EMPTY)));
  }
}
