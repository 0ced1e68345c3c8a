package org.fieldtrestle.api;

import java.util.Optional;
import java.util.function.Consumer;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.MalformedJsonException;
import org.fieldtrestle.protocol.UserProtocol;
import org.fieldtrestle.state.CommitResult;
import org.fieldtrestle.state.StateKeys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts jobs. A job is accepted once its record is committed to the key-value store. Submitting
 * an accepted job again returns its stage.
 */
final class SubmissionHandler {
  private static final Logger LOG = LoggerFactory.getLogger(SubmissionHandler.class);

  /** The most submissions that may wait for the key-value store at a time; others are throttled. */
  private static final int MAX_CONCURRENT_SUBMISSIONS = 24;

  /** How often a submission is retried after a shard of its plan has changed leaders. */
  private static final int MAX_CONFLICT_RETRIES = 3;

  /** How long a retry waits for the conflicting write to be applied, in watch intervals. */
  private static final int CONFLICT_WAIT_WATCH_INTERVALS = 4;

  private final ControllerContext context;
  private final StoreAvailability availability;
  private final StatusHandler statusHandler;
  private final FinishedJobs finishedJobs;
  private final AdmissionCheck admissionCheck;
  private final AcceptancePlanner planner;
  private int submissionsInProgress;

  SubmissionHandler(
      ControllerContext context,
      StoreAvailability availability,
      StatusHandler statusHandler,
      FinishedJobs finishedJobs) {
    this.context = context;
    this.availability = availability;
    this.statusHandler = statusHandler;
    this.finishedJobs = finishedJobs;
    this.admissionCheck = new AdmissionCheck(context);
    this.planner = new AcceptancePlanner(context);
  }

  /** Accepts the job that a request body describes, or reports why not. */
  void submit(byte[] body, Consumer<RequestOutcome> reply) {
    JobSpec spec;
    try {
      spec = UserProtocol.readJob(body);
    } catch (MalformedJsonException e) {
      reply.accept(new RequestOutcome.Invalid(e.getMessage()));
      return;
    }
    submit(spec, reply);
  }

  private void submit(JobSpec spec, Consumer<RequestOutcome> reply) {
    if (availability.isUnresponsive()) {
      reply.accept(availability.unavailable());
      return;
    }
    if (isKnown(spec.id())) {
      statusHandler.query(spec.id(), reply);
      return;
    }
    if (context.machineTypes().isEmpty()) {
      reply.accept(availability.unavailable());
      return;
    }
    Optional<String> rejectionReason = admissionCheck.rejectionReason(spec);
    if (rejectionReason.isPresent()) {
      rejectUnlessAccepted(
          spec.id(), new RequestOutcome.Unsatisfiable(rejectionReason.get()), reply);
      return;
    }
    if (submissionsInProgress >= MAX_CONCURRENT_SUBMISSIONS || context.store().isCongested()) {
      context.metrics().countRefusedSubmission();
      reply.accept(new RequestOutcome.Throttled());
      return;
    }
    submissionsInProgress++;
    accept(
        spec,
        outcome -> {
          submissionsInProgress--;
          reply.accept(outcome);
        },
        MAX_CONFLICT_RETRIES);
  }

  private boolean isKnown(String jobId) {
    return finishedJobs.cached(jobId).isPresent() || context.stateCache().job(jobId) != null;
  }

  /**
   * Rejects a job unless it was accepted before. The settings or the machine types may have changed
   * since then, but an accepted job stays accepted.
   */
  private void rejectUnlessAccepted(
      String jobId, RequestOutcome rejection, Consumer<RequestOutcome> reply) {
    statusHandler.query(
        jobId,
        outcome -> reply.accept(outcome instanceof RequestOutcome.NotFound ? rejection : outcome));
  }

  private void accept(JobSpec spec, Consumer<RequestOutcome> reply, int retriesLeft) {
    AcceptancePlanner.Plan plan = planner.plan(spec);
    if (plan.recordBytes() > planner.maxRecordBytes()) {
      // The split depends on the current loads of the shards, so the job may have fitted and been
      // accepted earlier.
      rejectUnlessAccepted(
          spec.id(), new RequestOutcome.Invalid("larger than what can be kept of a job"), reply);
      return;
    }
    context
        .store()
        .commit(
            plan.transaction(), result -> onCommitResult(spec, plan, result, reply, retriesLeft));
  }

  private void onCommitResult(
      JobSpec spec,
      AcceptancePlanner.Plan plan,
      CommitResult result,
      Consumer<RequestOutcome> reply,
      int retriesLeft) {
    if (result instanceof CommitResult.Committed committed) {
      onAccepted(spec, plan, committed.revision());
      replyAccepted(spec.id(), reply);
    } else if (result instanceof CommitResult.Conflict conflict) {
      if (jobExists(conflict, spec.id())) {
        statusHandler.query(spec.id(), reply);
      } else {
        retryAfterConflict(spec, conflict, reply, retriesLeft);
      }
    } else {
      context.metrics().countRefusedSubmission();
      reply.accept(availability.unavailable());
    }
  }

  private void onAccepted(JobSpec spec, AcceptancePlanner.Plan plan, long revision) {
    context.loads().addAssigned(spec, plan.parts());
    context.stateCache().applyCommit(plan.transaction().changes(), revision);
    LOG.debug(
        "job {} of class {} accepted, split into {} task ranges",
        spec.id(),
        spec.jobClass(),
        plan.parts().size());
  }

  /**
   * Reports that the job is accepted. If the answer to the commit was late, the job may already
   * have ended; its status is queried then.
   */
  private void replyAccepted(String jobId, Consumer<RequestOutcome> reply) {
    if (context.stateCache().job(jobId) == null) {
      statusHandler.query(jobId, reply);
    } else {
      reply.accept(new RequestOutcome.Accepted(jobId));
    }
  }

  private static boolean jobExists(CommitResult.Conflict conflict, String jobId) {
    return conflict.keys().contains(StateKeys.job(jobId))
        || conflict.keys().contains(StateKeys.finished(jobId));
  }

  private void retryAfterConflict(
      JobSpec spec,
      CommitResult.Conflict conflict,
      Consumer<RequestOutcome> reply,
      int retriesLeft) {
    if (retriesLeft == 0) {
      reply.accept(availability.unavailable());
      return;
    }
    context
        .stateCache()
        .awaitRevision(
            conflict.revision(),
            context.stateCache().watchIntervalMs() * CONFLICT_WAIT_WATCH_INTERVALS,
            applied -> accept(spec, reply, retriesLeft - 1));
  }
}
