package org.fieldtrestle.worker;

import java.util.List;
import java.util.Map;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.state.ActiveJob;
import org.fieldtrestle.state.FinishedJobRecord;
import org.fieldtrestle.state.RangeRecord;
import org.fieldtrestle.state.StateChanges;
import org.fieldtrestle.state.StateKey;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.state.Versioned;

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
      StateKey.RangeKey key,
      RangeRecord next,
      List<KeyValueProtocol.Condition> conditions,
      List<KeyValueProtocol.Change> changes) {
    ActiveJob job = context.stateCache().job(key.job());
    if (job == null) {
      return false;
    }
    int tasks = 0;
    for (Map.Entry<Integer, Versioned<RangeRecord>> one : job.ranges().entrySet()) {
      RangeRecord range = one.getKey() == key.index() ? next : one.getValue().record();
      if (!range.isComplete()) {
        return false;
      }
      tasks += range.size();
    }
    if (tasks != job.job().record().spec().tasks()
        || job.ranges().size() + 2 > context.settings().state().txnOps()) {
      return false;
    }
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
    return true;
  }

  /** Ends a job whose ranges all became complete without anybody seeing the last one do so. */
  public static boolean whole(
      ControllerContext context,
      String job,
      List<KeyValueProtocol.Condition> conditions,
      List<KeyValueProtocol.Change> changes) {
    ActiveJob live = context.stateCache().job(job);
    if (live == null || !live.isComplete()) {
      return false;
    }
    Map.Entry<Integer, Versioned<RangeRecord>> any = live.ranges().firstEntry();
    StateKey.RangeKey key = new StateKey.RangeKey(job, any.getKey());
    conditions.add(new KeyValueProtocol.Condition(StateKeys.range(key), any.getValue().version()));
    return add(context, key, any.getValue().record(), conditions, changes);
  }
}
