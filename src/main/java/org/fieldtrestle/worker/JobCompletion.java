package org.fieldtrestle.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.state.KeyValueClient.Transaction;
import org.fieldtrestle.state.Records;
import org.fieldtrestle.state.StateCache;

/**
 * Turns a job whose tasks are all durably done into its final record, in one transaction. Every
 * range that this relies on is a condition, so that it fails if one of them is not as it was seen.
 */
public final class JobCompletion {
  private JobCompletion() {}

  /**
   * What ends the job if all its ranges are complete once {@code key} holds {@code next}, the
   * removal of that range included. The caller adds the condition on the range itself.
   *
   * @return empty where the job does not end with this, or has too many ranges for a transaction
   */
  static Optional<Transaction> byLastRange(
      ControllerContext context, Records.RangeKey key, Records.Range next) {
    StateCache.ActiveJob job = context.stateCache().job(key.job());
    if (job == null || job.ranges().size() + 2 > context.settings().state().txnOps()) {
      return Optional.empty();
    }
    int tasks = 0;
    for (Map.Entry<Integer, StateCache.Versioned<Records.Range>> one : job.ranges().entrySet()) {
      Records.Range range = one.getKey() == key.index() ? next : one.getValue().record();
      if (!range.complete()) {
        return Optional.empty();
      }
      tasks += range.size();
    }
    if (tasks != job.job().record().spec().tasks()) {
      return Optional.empty();
    }
    return Optional.of(ending(job, key, tasks));
  }

  private static Transaction ending(StateCache.ActiveJob job, Records.RangeKey key, int tasks) {
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    List<KeyValueProtocol.Change> changes = new ArrayList<>();
    conditions.add(new KeyValueProtocol.Condition(Records.job(key.job()), job.job().version()));
    changes.add(new KeyValueProtocol.Delete(Records.job(key.job())));
    for (Map.Entry<Integer, StateCache.Versioned<Records.Range>> one : job.ranges().entrySet()) {
      String rangeKey = Records.range(new Records.RangeKey(key.job(), one.getKey()));
      if (one.getKey() != key.index()) {
        conditions.add(new KeyValueProtocol.Condition(rangeKey, one.getValue().version()));
      }
      if (one.getValue().version() != 0) {
        changes.add(new KeyValueProtocol.Delete(rangeKey));
      }
    }
    changes.add(
        new KeyValueProtocol.Put(
            Records.finished(key.job()),
            Records.write(new Records.FinishedJob(true, tasks, tasks)),
            0));
    return new Transaction(conditions, changes);
  }

  /**
   * Ends a job whose ranges all became complete without that any controller saw the last one do so.
   *
   * @return empty where the job is not complete, or has too many ranges for a transaction
   */
  public static Optional<Transaction> ofCompleteJob(ControllerContext context, String jobId) {
    StateCache.ActiveJob job = context.stateCache().job(jobId);
    if (job == null || !job.complete()) {
      return Optional.empty();
    }
    Map.Entry<Integer, StateCache.Versioned<Records.Range>> any = job.ranges().firstEntry();
    Records.RangeKey key = new Records.RangeKey(jobId, any.getKey());
    KeyValueProtocol.Condition unchanged =
        new KeyValueProtocol.Condition(Records.range(key), any.getValue().version());
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
