package org.fieldtrestle.api;

import org.fieldtrestle.protocol.UserProtocol;
import org.fieldtrestle.protocol.UserProtocol.Stage;
import org.fieldtrestle.transport.Http;

/** Maps request outcomes to HTTP responses. */
final class HttpResponses {
  private static final int RETRY_AFTER_S = 1;

  /** How much of a job's status a response contains. */
  enum Detail {
    /** Identifier and stage, in responses to submissions and cancellations. */
    STAGE,
    /** Also the numbers of tasks, in responses to status queries. */
    PROGRESS
  }

  private HttpResponses() {}

  /** Returns the response for an outcome. */
  static Http.Response of(RequestOutcome outcome, Detail detail) {
    if (outcome instanceof RequestOutcome.JobStatus status) {
      return new Http.Response(200, body(status, detail));
    } else if (outcome instanceof RequestOutcome.Accepted accepted) {
      return new Http.Response(201, UserProtocol.accepted(accepted.jobId(), Stage.QUEUED));
    } else if (outcome instanceof RequestOutcome.Invalid invalid) {
      return new Http.Response(400, UserProtocol.error(invalid.reason()));
    } else if (outcome instanceof RequestOutcome.NotFound) {
      return new Http.Response(404, UserProtocol.error("no such job"));
    } else if (outcome instanceof RequestOutcome.Unsatisfiable unsatisfiable) {
      return new Http.Response(422, UserProtocol.error(unsatisfiable.reason()));
    } else if (outcome instanceof RequestOutcome.Throttled) {
      return new Http.Response(429, Http.Response.EMPTY, RETRY_AFTER_S);
    } else if (outcome instanceof RequestOutcome.Unavailable unavailable) {
      return new Http.Response(
          503, Http.Response.EMPTY, RETRY_AFTER_S, unavailable.closeConnection());
    }
    throw new IllegalArgumentException("outcome without a response: " + outcome);
  }

  private static byte[] body(RequestOutcome.JobStatus status, Detail detail) {
    return switch (detail) {
      case STAGE -> UserProtocol.accepted(status.jobId(), status.stage());
      case PROGRESS ->
          UserProtocol.status(status.jobId(), status.stage(), status.done(), status.running());
    };
  }
}
