package org.fieldtrestle.api;

import org.fieldtrestle.protocol.JobStage;

/** The outcome of a user's request; {@link HttpResponses} maps each to its HTTP response. */
sealed interface RequestOutcome {

  /** The job was accepted by this request. */
  record Accepted(String jobId) implements RequestOutcome {}

  /**
   * The job exists.
   *
   * @param done number of tasks that are done
   * @param running number of tasks that are running
   */
  record JobStatus(String jobId, JobStage stage, int done, int running) implements RequestOutcome {}

  /** There is no job with this identifier. */
  record NotFound() implements RequestOutcome {}

  /** The request cannot be read, or its job is too large to be stored. */
  record Invalid(String reason) implements RequestOutcome {}

  /** The job could never run in this cluster. */
  record Unsatisfiable(String reason) implements RequestOutcome {}

  /** Too many submissions are in progress; the user should retry. */
  record Throttled() implements RequestOutcome {}

  /**
   * The request cannot be answered now; the user should retry.
   *
   * @param closeConnection whether the retry should use another connection, which may lead to
   *     another controller: load balancers do not move open connections
   */
  record Unavailable(boolean closeConnection) implements RequestOutcome {}
}
