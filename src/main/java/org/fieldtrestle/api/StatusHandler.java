package org.fieldtrestle.api;

import java.util.Optional;
import java.util.function.Consumer;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.metrics.JobQueryMetrics.Unanswered;
import org.fieldtrestle.protocol.JobStage;
import org.fieldtrestle.protocol.UserProtocol;
import org.fieldtrestle.state.ActiveJob;
import org.fieldtrestle.state.FinishedJobRecord;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.transport.Reactor;

/**
 * Answers status queries. Unless the job is known to have ended, an answer is given only after the
 * read barrier, so that it is never older than one that any controller gave before the query.
 */
final class StatusHandler {
  /** Share of the time that a user waits for an answer within which there is one in any case. */
  private static final double TIMEOUT_SHARE = 0.9;

  private static final long TIMEOUT_MS = Math.round(UserProtocol.POLL_TIMEOUT_MS * TIMEOUT_SHARE);

  private final ControllerContext context;
  private final StoreAvailability availability;
  private final FinishedJobs finishedJobs;
  private final UserApi.Running runningTasks;
  private final ReadBarrier readBarrier;

  StatusHandler(
      ControllerContext context,
      StoreAvailability availability,
      FinishedJobs finishedJobs,
      UserApi.Running runningTasks) {
    this.context = context;
    this.availability = availability;
    this.finishedJobs = finishedJobs;
    this.runningTasks = runningTasks;
    this.readBarrier = new ReadBarrier(context, TIMEOUT_MS);
  }

  /** Returns the status of a job that ended in a known way. */
  static RequestOutcome.JobStatus finished(String jobId, FinishedJobRecord end) {
    JobStage stage = end.done() ? JobStage.DONE : JobStage.CANCELLED;
    return new RequestOutcome.JobStatus(jobId, stage, end.doneTasks(), 0);
  }

  /** Finds out the status of a job; replies within {@link #TIMEOUT_MS} in any case. */
  void query(String jobId, Consumer<RequestOutcome> reply) {
    Optional<FinishedJobRecord> end = finishedJobs.cached(jobId);
    if (end.isPresent()) {
      reply.accept(finished(jobId, end.get()));
    } else if (!UserProtocol.isValidJobId(jobId)) {
      reply.accept(new RequestOutcome.NotFound());
    } else if (availability.isUnresponsive()) {
      reply.accept(unanswered(Unanswered.STATE_SERVICE_SILENT));
    } else {
      queryState(jobId, withTimeout(reply));
    }
  }

  private void queryState(String jobId, Consumer<RequestOutcome> reply) {
    readBarrier.await(
        passed -> {
          if (passed) {
            readState(jobId, reply);
          } else {
            reply.accept(unanswered(Unanswered.NOT_FOLLOWED_IN_TIME));
          }
        });
  }

  private void readState(String jobId, Consumer<RequestOutcome> reply) {
    ActiveJob job = context.stateCache().job(jobId);
    if (job != null) {
      reply.accept(active(jobId, job));
    } else if (context.stateCache().version(StateKeys.job(jobId)) != 0) {
      reply.accept(unreadable(jobId));
    } else {
      finishedJobs.read(jobId, outcome -> reply.accept(ofEnd(jobId, outcome)));
    }
  }

  private RequestOutcome ofEnd(String jobId, FinishedJobs.Outcome outcome) {
    if (outcome instanceof FinishedJobs.Finished finished) {
      return finished(jobId, finished.end());
    }
    if (outcome instanceof FinishedJobs.NotFinished) {
      // The job may have been accepted since the read barrier.
      ActiveJob job = context.stateCache().job(jobId);
      return job != null ? active(jobId, job) : new RequestOutcome.NotFound();
    }
    return unanswered(Unanswered.END_NOT_READ);
  }

  /** Returns the status of a job whose own record this version cannot read, from its ranges. */
  private RequestOutcome unreadable(String jobId) {
    ActiveJob job = context.stateCache().jobsById().get(jobId);
    return job == null || job.ranges().isEmpty()
        ? unanswered(Unanswered.RECORD_UNREADABLE)
        : active(jobId, job);
  }

  private RequestOutcome active(String jobId, ActiveJob job) {
    int running = runningTasks.of(jobId);
    int done = job.doneTasks();
    JobStage stage = running > 0 || done > 0 ? JobStage.RUNNING : JobStage.QUEUED;
    return new RequestOutcome.JobStatus(jobId, stage, done, running);
  }

  /**
   * Counts a query that cannot be answered now. Unless the store is silent for all controllers,
   * only this controller may be behind, and the user should retry on another connection.
   */
  private RequestOutcome unanswered(Unanswered reason) {
    context.metrics().questions.unanswered(reason, context.nowMs());
    return new RequestOutcome.Unavailable(
        reason != Unanswered.STATE_SERVICE_SILENT || availability.isCutOff());
  }

  /** Replies once: with the first outcome, or at the timeout. Later outcomes are dropped. */
  private Consumer<RequestOutcome> withTimeout(Consumer<RequestOutcome> reply) {
    boolean[] replied = {false};
    Reactor.Timer timeout =
        context
            .reactor()
            .schedule(
                TIMEOUT_MS,
                () -> {
                  if (!replied[0]) {
                    replied[0] = true;
                    reply.accept(unanswered(Unanswered.LATE));
                  }
                });
    return outcome -> {
      if (!replied[0]) {
        replied[0] = true;
        timeout.cancel();
        reply.accept(outcome);
      }
    };
  }
}
