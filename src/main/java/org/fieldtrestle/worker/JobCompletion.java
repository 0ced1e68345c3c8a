package org.fieldtrestle.worker;

import java.util.List;
import java.util.Map;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.state.Records;
import org.fieldtrestle.state.StateCache;

/** Turns a job whose tasks are all durably done into its final record, in one transaction. */
public final class JobCompletion {
  private JobCompletion() {}

  /**
   * Adds what ends the job if all its ranges are complete once {@code key} holds {@code next}.
   * Every range it relies on is a condition, so that it fails if one of them is not as we saw it.
   *
   * @return whether the job ends with this, in which case the range itself is removed too
   */
  static boolean add(
      ControllerContext context,
      Records.RangeKey key,
      Records.Range next,
      List<KeyValueProtocol.Condition> conditions,
      List<KeyValueProtocol.Change> changes) {
    StateCache.ActiveJob job = context.stateCache().job(key.job());
    if (job == null) {
      return false;
    }
    int tasks = 0;
    for (Map.Entry<Integer, StateCache.Versioned<Records.Range>> one : job.ranges().entrySet()) {
      Records.Range range = one.getKey() == key.index() ? next : one.getValue().record();
      if (!range.complete()) {
        return false;
      }
      tasks += range.size();
    }
    if (tasks != job.job().record().spec().tasks()
        || job.ranges().size() + 2 > context.settings().state().txnOps()) {
      return false;
    }
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
    return true;
  }

  /** Ends a job whose ranges all became complete without anybody seeing the last one do so. */
  public static boolean whole(
      ControllerContext context,
      String job,
      List<KeyValueProtocol.Condition> conditions,
      List<KeyValueProtocol.Change> changes) {
    StateCache.ActiveJob live = context.stateCache().job(job);
    if (live == null || !live.complete()) {
      return false;
    }
    Map.Entry<Integer, StateCache.Versioned<Records.Range>> any = live.ranges().firstEntry();
    Records.RangeKey key = new Records.RangeKey(job, any.getKey());
    conditions.add(new KeyValueProtocol.Condition(Records.range(key), any.getValue().version()));
    return add(context, key, any.getValue().record(), conditions, changes);
  }
}
