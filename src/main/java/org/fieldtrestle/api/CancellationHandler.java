package org.fieldtrestle.api;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.state.ActiveJob;
import org.fieldtrestle.state.CommitResult;
import org.fieldtrestle.state.FinishedJobRecord;
import org.fieldtrestle.state.StateChanges;
import org.fieldtrestle.state.StateKey;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.state.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Cancels jobs. A job is cancelled once its record in the key-value store is replaced by a record
 * of the finished job; its tasks are stopped afterwards.
 */
final class CancellationHandler {
  private static final Logger LOG = LoggerFactory.getLogger(CancellationHandler.class);

  /** How often a cancellation is retried after the job or one of its ranges has changed. */
  private static final int MAX_CONFLICT_RETRIES = 3;

  /** How long a retry waits for the conflicting write to be applied, in watch intervals. */
  private static final int CONFLICT_WAIT_WATCH_INTERVALS = 8;

  private final ControllerContext context;
  private final StoreAvailability availability;
  private final StatusHandler statusHandler;
  private final FinishedJobs finishedJobs;
  private final UserApi.Peers peers;

  CancellationHandler(
      ControllerContext context,
      StoreAvailability availability,
      StatusHandler statusHandler,
      FinishedJobs finishedJobs,
      UserApi.Peers peers) {
    this.context = context;
    this.availability = availability;
    this.statusHandler = statusHandler;
    this.finishedJobs = finishedJobs;
    this.peers = peers;
  }

  /** Cancels a job; if the job has already ended, reports how it ended. */
  void cancel(String jobId, Consumer<RequestOutcome> reply) {
    cancel(jobId, reply, MAX_CONFLICT_RETRIES);
  }

  private void cancel(String jobId, Consumer<RequestOutcome> reply, int retriesLeft) {
    Optional<FinishedJobRecord> end = finishedJobs.cached(jobId);
    if (end.isPresent()) {
      reply.accept(StatusHandler.finishedStatus(jobId, end.get()));
      return;
    }
    if (availability.isUnresponsive()) {
      reply.accept(availability.unavailable());
      return;
    }
    ActiveJob job = context.stateCache().job(jobId);
    if (job != null) {
      commitCancellation(jobId, job, reply, retriesLeft);
    } else if (context.stateCache().version(StateKeys.job(jobId)) != 0) {
      // This version cannot read the job's record and must not end the job.
      reply.accept(availability.unavailable());
    } else {
      statusHandler.query(jobId, reply);
    }
  }

  private void commitCancellation(
      String jobId, ActiveJob job, Consumer<RequestOutcome> reply, int retriesLeft) {
    FinishedJobRecord end =
        new FinishedJobRecord(false, job.job().record().spec().tasks(), job.doneTasks());
    Transaction transaction = cancellationTransaction(jobId, job, end);
    context
        .store()
        .commit(
            transaction,
            result -> {
              if (result instanceof CommitResult.Committed committed) {
                onCancelled(jobId, end, transaction.changes(), committed.revision());
                reply.accept(StatusHandler.finishedStatus(jobId, end));
              } else if (result instanceof CommitResult.Conflict conflict && retriesLeft > 0) {
                retryAfterConflict(jobId, conflict, reply, retriesLeft);
              } else {
                reply.accept(availability.unavailable());
              }
            });
  }

  private static Transaction cancellationTransaction(
      String jobId, ActiveJob job, FinishedJobRecord end) {
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    conditions.add(new KeyValueProtocol.Condition(StateKeys.job(jobId), job.job().version()));
    conditions.add(new KeyValueProtocol.Condition(StateKeys.finished(jobId), 0));
    List<KeyValueProtocol.Change> changes = new ArrayList<>();
    changes.add(new KeyValueProtocol.Delete(StateKeys.job(jobId)));
    changes.add(StateChanges.put(StateKeys.finished(jobId), end));
    // Ranges that exist only in the job's record get records of their own, because their tasks
    // count against the team's quota until they have stopped.
    job.ranges()
        .forEach(
            (index, range) -> {
              if (range.version() == 0) {
                String key = StateKeys.range(new StateKey.RangeKey(jobId, index));
                conditions.add(new KeyValueProtocol.Condition(key, 0));
                changes.add(StateChanges.put(key, range.record()));
              }
            });
    return new Transaction(conditions, changes);
  }

  /**
   * Called when the cancellation is committed. The state cache is updated before other controllers
   * are notified and the user gets an answer, so that no component of this controller acts on the
   * job any more.
   */
  private void onCancelled(
      String jobId, FinishedJobRecord end, List<KeyValueProtocol.Change> changes, long revision) {
    finishedJobs.cache(jobId, end);
    context.stateCache().applyCommit(changes, revision);
    context.cancellations().cancellationConfirmed(revision);
    LOG.atInfo()
        .addKeyValue("job", jobId)
        .addKeyValue("revision", revision)
        .addKeyValue("appliedRevision", context.stateCache().appliedRevision())
        .log("cancellation confirmed");
    peers.broadcastCancellation(jobId);
  }

  private void retryAfterConflict(
      String jobId,
      CommitResult.Conflict conflict,
      Consumer<RequestOutcome> reply,
      int retriesLeft) {
    context
        .stateCache()
        .awaitRevision(
            conflict.revision(),
            context.stateCache().watchIntervalMs() * CONFLICT_WAIT_WATCH_INTERVALS,
            applied -> {
              if (applied) {
                cancel(jobId, reply, retriesLeft - 1);
              } else {
                reply.accept(availability.unavailable());
              }
            });
  }
}
