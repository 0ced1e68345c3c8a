package org.fieldtrestle.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.state.ActiveJob;
import org.fieldtrestle.state.FinishedJobRecord;
import org.fieldtrestle.state.RangeRecord;
import org.fieldtrestle.state.StateChanges;
import org.fieldtrestle.state.StateKey;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.state.Transaction;
import org.fieldtrestle.state.Versioned;

/**
 * Turns a job whose tasks are all durably done into its final record, in one transaction. Every
 * range that this relies on is a condition, so that it fails if one of them is not as it was seen.
 */
public final class JobCompletion {
  /** Changes of the transaction beside those of the ranges: the job, and its final record. */
  private static final int CHANGES_OF_JOB = 2;

  private JobCompletion() {}

  /**
   * What ends the job if all its ranges are complete once {@code key} holds {@code next}, the
   * removal of that range included. The caller adds the condition on the range itself.
   *
   * @return empty where the job does not end with this, or has too many ranges for a transaction
   */
  static Optional<Transaction> byLastRange(
      ControllerContext context, StateKey.RangeKey key, RangeRecord next) {
    ActiveJob job = context.stateCache().job(key.job());
    if (job == null
        || job.ranges().size() + CHANGES_OF_JOB
            > context.settings().storeLimits().maxTransactionChanges()) {
      return Optional.empty();
    }
    int tasks = 0;
    for (Map.Entry<Integer, Versioned<RangeRecord>> one : job.ranges().entrySet()) {
      RangeRecord range = one.getKey() == key.index() ? next : one.getValue().record();
      if (!range.isComplete()) {
        return Optional.empty();
      }
      tasks += range.size();
    }
    if (tasks != job.job().record().spec().tasks()) {
      return Optional.empty();
    }
    return Optional.of(ending(job, key, tasks));
  }

  private static Transaction ending(ActiveJob job, StateKey.RangeKey key, int tasks) {
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    List<KeyValueProtocol.Change> changes = new ArrayList<>();
    conditions.add(new KeyValueProtocol.Condition(StateKeys.job(key.job()), job.job().version()));
    changes.add(new KeyValueProtocol.Delete(StateKeys.job(key.job())));
    for (Map.Entry<Integer, Versioned<RangeRecord>> one : job.ranges().entrySet()) {
      String rangeKey = StateKeys.range(new StateKey.RangeKey(key.job(), one.getKey()));
      if (one.getKey() != key.index()) {
        conditions.add(new KeyValueProtocol.Condition(rangeKey, one.getValue().version()));
      }
      if (one.getValue().version() != 0) {
        changes.add(new KeyValueProtocol.Delete(rangeKey));
      }
    }
    changes.add(
        StateChanges.put(StateKeys.finished(key.job()), new FinishedJobRecord(true, tasks, tasks)));
    return new Transaction(conditions, changes);
  }

  /**
   * Ends a job whose ranges all became complete without that any controller saw the last one do so.
   *
   * @return empty where the job is not complete, or has too many ranges for a transaction
   */
  public static Optional<Transaction> ofCompleteJob(ControllerContext context, String jobId) {
    ActiveJob job = context.stateCache().job(jobId);
    if (job == null || !job.isComplete()) {
      return Optional.empty();
    }
    Map.Entry<Integer, Versioned<RangeRecord>> any = job.ranges().firstEntry();
    StateKey.RangeKey key = new StateKey.RangeKey(jobId, any.getKey());
    KeyValueProtocol.Condition unchanged =
        new KeyValueProtocol.Condition(StateKeys.range(key), any.getValue().version());
    return byLastRange(context, key, any.getValue().record())
        .map(
            ending -> {
              List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
              conditions.add(unchanged);
              conditions.addAll(ending.conditions());
              return new Transaction(conditions, ending.changes());
            });
  }
}
