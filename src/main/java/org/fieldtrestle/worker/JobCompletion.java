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
 * Creates the transactions that replace a job whose tasks are all durably done with its final
 * record. A transaction has a condition on every range that it depends on, so that it fails if one
 * of them has changed.
 */
public final class JobCompletion {
  /**
   * Changes of the transaction in addition to those of the ranges: the job and its final record.
   */
  private static final int CHANGES_OF_JOB = 2;

  private JobCompletion() {}

  /**
   * Returns the transaction that ends the job if all its ranges are complete once {@code key} holds
   * {@code next}. It includes the removal of that range. The caller adds the condition on the range
   * itself.
   *
   * @return empty if the job does not end with this change or has too many ranges for one
   *     transaction
   */
  static Optional<Transaction> ifLastRange(
      ControllerContext context, StateKey.RangeKey key, RangeRecord next) {
    ActiveJob job = context.stateCache().job(key.job());
    if (job == null
        || job.ranges().size() + CHANGES_OF_JOB
            > context.settings().storeLimits().maxTransactionChanges()) {
      return Optional.empty();
    }
    int tasks = 0;
    for (Map.Entry<Integer, Versioned<RangeRecord>> entry : job.ranges().entrySet()) {
      RangeRecord range = entry.getKey() == key.index() ? next : entry.getValue().record();
      if (!range.isComplete()) {
        return Optional.empty();
      }
      tasks += range.size();
    }
    if (tasks != job.job().record().spec().tasks()) {
      return Optional.empty();
    }
    return Optional.of(endTransaction(job, key, tasks));
  }

  private static Transaction endTransaction(ActiveJob job, StateKey.RangeKey key, int tasks) {
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    List<KeyValueProtocol.Change> changes = new ArrayList<>();
    conditions.add(new KeyValueProtocol.Condition(StateKeys.job(key.job()), job.job().version()));
    changes.add(new KeyValueProtocol.Delete(StateKeys.job(key.job())));
    for (Map.Entry<Integer, Versioned<RangeRecord>> entry : job.ranges().entrySet()) {
      String rangeKey = StateKeys.range(new StateKey.RangeKey(key.job(), entry.getKey()));
      if (entry.getKey() != key.index()) {
        conditions.add(new KeyValueProtocol.Condition(rangeKey, entry.getValue().version()));
      }
      if (entry.getValue().version() != 0) {
        changes.add(new KeyValueProtocol.Delete(rangeKey));
      }
    }
    changes.add(
        StateChanges.put(StateKeys.finished(key.job()), new FinishedJobRecord(true, tasks, tasks)));
    return new Transaction(conditions, changes);
  }

  /**
   * Returns the transaction that ends a job whose ranges have all become complete although no
   * controller saw the last one become complete.
   *
   * @return empty if the job is not complete or has too many ranges for one transaction
   */
  public static Optional<Transaction> ofCompleteJob(ControllerContext context, String jobId) {
    ActiveJob job = context.stateCache().job(jobId);
    if (job == null || !job.isComplete()) {
      return Optional.empty();
    }
    Map.Entry<Integer, Versioned<RangeRecord>> firstRange = job.ranges().firstEntry();
    StateKey.RangeKey key = new StateKey.RangeKey(jobId, firstRange.getKey());
    KeyValueProtocol.Condition unchanged =
        new KeyValueProtocol.Condition(StateKeys.range(key), firstRange.getValue().version());
    return ifLastRange(context, key, firstRange.getValue().record())
        .map(
            endTransaction -> {
              List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
              conditions.add(unchanged);
              conditions.addAll(endTransaction.conditions());
              return new Transaction(conditions, endTransaction.changes());
            });
  }
}
