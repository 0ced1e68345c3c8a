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
 * Answers status queries. Unless the job is known to have ended, a query is answered only after the
 * read barrier. The answer is then never older than an answer that any controller gave before the
 * query.
 */
final class StatusHandler {
  /**
   * Share of the user's own timeout after which a query is answered in any case, even if the status
   * is still unknown.
   */
  private static final double TIMEOUT_SHARE = 0.9;

  private static final long TIMEOUT_MS = Math.round(UserProtocol.QUERY_TIMEOUT_MS * TIMEOUT_SHARE);

  private final ControllerContext context;
  private final StoreAvailability availability;
  private final FinishedJobs finishedJobs;
  private final UserApi.RunningTaskCounter runningTaskCounter;
  private final ReadBarrier readBarrier;

  StatusHandler(
      ControllerContext context,
      StoreAvailability availability,
      FinishedJobs finishedJobs,
      UserApi.RunningTaskCounter runningTaskCounter) {
    this.context = context;
    this.availability = availability;
    this.finishedJobs = finishedJobs;
    this.runningTaskCounter = runningTaskCounter;
    this.readBarrier = new ReadBarrier(context, TIMEOUT_MS);
  }

  /** Returns the status of a job that has ended. */
  static RequestOutcome.JobStatus finishedStatus(String jobId, FinishedJobRecord end) {
    JobStage stage = end.done() ? JobStage.DONE : JobStage.CANCELLED;
    return new RequestOutcome.JobStatus(jobId, stage, end.doneTasks(), 0);
  }

  /** Queries the status of a job; replies within {@link #TIMEOUT_MS} in any case. */
  void query(String jobId, Consumer<RequestOutcome> reply) {
    Optional<FinishedJobRecord> end = finishedJobs.cached(jobId);
    if (end.isPresent()) {
      reply.accept(finishedStatus(jobId, end.get()));
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
      reply.accept(activeStatus(jobId, job));
    } else if (context.stateCache().version(StateKeys.job(jobId)) != 0) {
      reply.accept(unreadableStatus(jobId));
    } else {
      finishedJobs.read(jobId, outcome -> reply.accept(statusAfterRead(jobId, outcome)));
    }
  }

  private RequestOutcome statusAfterRead(String jobId, FinishedJobs.Outcome outcome) {
    if (outcome instanceof FinishedJobs.Finished finished) {
      return finishedStatus(jobId, finished.end());
    }
    if (outcome instanceof FinishedJobs.NotFinished) {
      // The job may have been accepted after the read barrier.
      ActiveJob job = context.stateCache().job(jobId);
      return job != null ? activeStatus(jobId, job) : new RequestOutcome.NotFound();
    }
    return unanswered(Unanswered.END_NOT_READ);
  }

  /**
   * Returns the status of a job whose own record this version cannot read. The status is derived
   * from the records of the job's ranges.
   */
  private RequestOutcome unreadableStatus(String jobId) {
    ActiveJob job = context.stateCache().jobsById().get(jobId);
    return job == null || job.ranges().isEmpty()
        ? unanswered(Unanswered.RECORD_UNREADABLE)
        : activeStatus(jobId, job);
  }

  private RequestOutcome activeStatus(String jobId, ActiveJob job) {
    int running = runningTaskCounter.count(jobId);
    int done = job.doneTasks();
    JobStage stage = running > 0 || done > 0 ? JobStage.RUNNING : JobStage.QUEUED;
    return new RequestOutcome.JobStatus(jobId, stage, done, running);
  }

  /**
   * Counts a query that cannot be answered now. Unless the key-value store is silent for all
   * controllers, the cause may lie in this controller alone, and the user should retry on another
   * connection.
   */
  private RequestOutcome unanswered(Unanswered reason) {
    context.metrics().jobQueries.queryUnanswered(reason, context.nowMs());
    return new RequestOutcome.Unavailable(
        reason != Unanswered.STATE_SERVICE_SILENT || availability.isCutOff());
  }

  /** Replies exactly once: with the first outcome or at the timeout. Drops later outcomes. */
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
