package org.fieldtrestle.protocol;

import java.util.regex.Pattern;

/** Paths and messages of the interface for users: submissions and answers. */
public final class UserProtocol {
  /** Path for submitting jobs; the path of a single job is this one, a slash and the job's id. */
  public static final String JOBS_PATH = "/v2/runs";

  /** Last segment of the path for cancelling a job. */
  public static final String CANCEL_SEGMENT = "abort";

  /** Path where the load balancer asks whether this controller accepts requests. */
  public static final String READY_PATH = "/ready";

  /** Path where operators read this controller's statistics. */
  public static final String STATS_PATH = "/stats";

  /** Maximum number of tasks of a job. */
  public static final int MAX_TASKS = 100_000;

  /** How long a user waits for the answer to a query about a job. */
  public static final long QUERY_TIMEOUT_MS = 2000;

  private static final Pattern JOB_ID = Pattern.compile("job-[0-9]{1,40}");

  private UserProtocol() {}

  /** Whether a text has the form of a job id. */
  public static boolean isValidJobId(String id) {
    return JOB_ID.matcher(id).matches();
  }

  /**
   * Reads a submission.
   *
   * @throws MalformedJsonException if the body violates the protocol; the message names the field
   */
  public static JobSpec readJob(byte[] body) throws MalformedJsonException {
    JobSpec spec = JobSpecCodec.read(Json.parse(body));
    if (spec.tasks() < 1 || spec.tasks() > MAX_TASKS) {
      throw new MalformedJsonException("boards");
    }
    return spec;
  }

  /** Writes the answer to a submission or a cancellation. */
  public static byte[] writeAccepted(String id, JobStage stage) {
    return Json.bytes(Json.object().put("uid", id).put("stage", stage.wireName()));
  }

  /**
   * Writes the answer to a query about a job.
   *
   * @param done number of its tasks that are done
   * @param running number of its tasks that are running
   */
  public static byte[] writeStatus(String id, JobStage stage, int done, int running) {
    return Json.bytes(
        Json.object()
            .put("uid", id)
            .put("stage", stage.wireName())
            .put("done", done)
            .put("running", running));
  }

  /** Writes the answer to a refused request. */
  public static byte[] writeError(String reason) {
    return Json.bytes(Json.object().put("error", reason));
  }
}
