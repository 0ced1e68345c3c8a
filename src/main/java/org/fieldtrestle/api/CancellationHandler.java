package org.fieldtrestle.api;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.state.KeyValueClient;
import org.fieldtrestle.state.Records;
import org.fieldtrestle.state.StateCache;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Cancels jobs. A job is cancelled once the key-value store has replaced its record by the record
 * of its end; its tasks stop afterwards.
 */
final class CancellationHandler {
  private static final Logger LOG = LoggerFactory.getLogger(CancellationHandler.class);

  /** Retries after the job or one of its ranges changed. */
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

  /** Cancels a job, or reports how it ended if it has ended before. */
  void cancel(String jobId, Consumer<RequestOutcome> reply) {
    cancel(jobId, reply, MAX_CONFLICT_RETRIES);
  }

  private void cancel(String jobId, Consumer<RequestOutcome> reply, int retriesLeft) {
    Optional<Records.FinishedJob> end = finishedJobs.cached(jobId);
    if (end.isPresent()) {
      reply.accept(StatusHandler.finished(jobId, end.get()));
      return;
    }
    if (availability.isUnresponsive()) {
      reply.accept(availability.unavailable());
      return;
    }
    StateCache.ActiveJob job = context.stateCache().job(jobId);
    if (job != null) {
      commitCancellation(jobId, job, reply, retriesLeft);
    } else if (context.stateCache().version(Records.job(jobId)) != 0) {
      // A job whose record this version cannot read must not be ended by it.
      reply.accept(availability.unavailable());
    } else {
      statusHandler.query(jobId, reply);
    }
  }

  private void commitCancellation(
      String jobId, StateCache.ActiveJob job, Consumer<RequestOutcome> reply, int retriesLeft) {
    Records.FinishedJob end =
        new Records.FinishedJob(false, job.job().record().spec().tasks(), job.done());
    KeyValueClient.Transaction transaction = transaction(jobId, job, end);
    context
        .store()
        .commit(
            transaction,
            result -> {
              if (result instanceof KeyValueClient.Committed committed) {
                onCancelled(jobId, end, transaction.changes(), committed.revision());
                reply.accept(StatusHandler.finished(jobId, end));
              } else if (result instanceof KeyValueClient.Conflict conflict && retriesLeft > 0) {
                retryAfterConflict(jobId, conflict, reply, retriesLeft);
              } else {
                reply.accept(availability.unavailable());
              }
            });
  }

  private static KeyValueClient.Transaction transaction(
      String jobId, StateCache.ActiveJob job, Records.FinishedJob end) {
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    conditions.add(new KeyValueProtocol.Condition(Records.job(jobId), job.job().version()));
    conditions.add(new KeyValueProtocol.Condition(Records.finished(jobId), 0));
    List<KeyValueProtocol.Change> changes = new ArrayList<>();
    changes.add(new KeyValueProtocol.Delete(Records.job(jobId)));
    changes.add(new KeyValueProtocol.Put(Records.finished(jobId), Records.write(end), 0));
    // Ranges that only the job's record names get records of their own, as their tasks count
    // against the team's quota until they have stopped.
    job.ranges()
        .forEach(
            (index, range) -> {
              if (range.version() == 0) {
                String key = Records.range(new Records.RangeKey(jobId, index));
                conditions.add(new KeyValueProtocol.Condition(key, 0));
                changes.add(new KeyValueProtocol.Put(key, Records.write(range.record()), 0));
              }
            });
    return new KeyValueClient.Transaction(conditions, changes);
  }

  /** The state cache is updated first, so that no part of this controller acts on the job. */
  private void onCancelled(
      String jobId, Records.FinishedJob end, List<KeyValueProtocol.Change> changes, long revision) {
    finishedJobs.cache(jobId, end);
    context.stateCache().committed(changes, revision);
    context.cancellations().confirmed(revision);
    LOG.atInfo()
        .addKeyValue("job", jobId)
        .addKeyValue("revision", revision)
        .addKeyValue("followed", context.stateCache().appliedRevision())
        .log("cancellation confirmed");
    peers.cancelled(jobId);
  }

  private void retryAfterConflict(
      String jobId,
      KeyValueClient.Conflict conflict,
      Consumer<RequestOutcome> reply,
      int retriesLeft) {
    context
        .stateCache()
        .await(
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
