package org.fieldtrestle.protocol;

import java.util.regex.Pattern;

/** The users' interface: paths, submissions and answers. */
public final class UserProtocol {
  /** Where jobs are submitted; a job's own path is this, a slash and its id. */
  public static final String JOBS_PATH = "/v2/runs";

  /** The last segment of the path under which a job is cancelled. */
  public static final String CANCEL_SEGMENT = "abort";

  /** Where the load balancer asks whether this controller takes requests. */
  public static final String READY_PATH = "/ready";

  /** Where operators read this controller's figures. */
  public static final String STATS_PATH = "/stats";

  /** The most tasks of one job. */
  public static final int MAX_TASKS = 100_000;

  /** For how long a user waits for the answer to a question. */
  public static final long POLL_TIMEOUT_MS = 2000;

  private static final Pattern JOB_ID = Pattern.compile("job-[0-9]{1,40}");

  private UserProtocol() {}

  /** Whether a text has the form of a job's id. */
  public static boolean isValidJobId(String id) {
    return JOB_ID.matcher(id).matches();
  }

  /**
   * Reads a submission.
   *
   * @throws MalformedJsonException if it breaks the protocol; the message names the field
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
   * Writes the answer to a question about a job.
   *
   * @param done how many of its tasks are done
   * @param running how many of its tasks run
   */
  public static byte[] writeStatus(String id, JobStage stage, int done, int running) {
    return Json.bytes(
        Json.object()
            .put("uid", id)
            .put("stage", stage.wireName())
            .put("done", done)
            .put("running", running));
  }

  /** Writes why a request was refused. */
  public static byte[] writeError(String reason) {
    return Json.bytes(Json.object().put("error", reason));
  }
}
