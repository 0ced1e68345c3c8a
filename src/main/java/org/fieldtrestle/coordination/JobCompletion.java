package org.fieldtrestle.coordination;

import java.util.List;
import java.util.Map;
import org.fieldtrestle.bookkeeping.Records;
import org.fieldtrestle.bookkeeping.View;
import org.fieldtrestle.protocol.StateWire;

/** Turns a job whose tasks are all durably done into its final record, in one transaction. */
final class JobCompletion {
  private JobCompletion() {}

  /**
   * Adds what ends the job if all its ranges are complete once {@code key} holds {@code next}.
   * Every range it relies on is a condition, so that it fails if one of them is not as we saw it.
   *
   * @return whether the job ends with this, in which case the range itself is removed too
   */
  static boolean add(
      Node node,
      Records.RangeKey key,
      Records.Range next,
      List<StateWire.Condition> conditions,
      List<StateWire.Change> changes) {
    View.LiveJob job = node.view().job(key.job());
    if (job == null) {
      return false;
    }
    int tasks = 0;
    for (Map.Entry<Integer, View.Kept<Records.Range>> one : job.ranges().entrySet()) {
      Records.Range range = one.getKey() == key.index() ? next : one.getValue().record();
      if (!range.complete()) {
        return false;
      }
      tasks += range.size();
    }
    if (tasks != job.job().record().spec().tasks()
        || job.ranges().size() + 2 > node.settings().state().txnOps()) {
      return false;
    }
    conditions.add(new StateWire.Condition(Records.job(key.job()), job.job().version()));
    changes.add(new StateWire.Delete(Records.job(key.job())));
    for (Map.Entry<Integer, View.Kept<Records.Range>> one : job.ranges().entrySet()) {
      String rangeKey = Records.range(new Records.RangeKey(key.job(), one.getKey()));
      if (one.getKey() != key.index()) {
        conditions.add(new StateWire.Condition(rangeKey, one.getValue().version()));
      }
      if (one.getValue().version() != 0) {
        changes.add(new StateWire.Delete(rangeKey));
      }
    }
    changes.add(
        new StateWire.Put(
            Records.finished(key.job()), Records.write(new Records.Final(true, tasks, tasks)), 0));
    return true;
  }

  /** Ends a job whose ranges all became complete without anybody seeing the last one do so. */
  static boolean whole(
      Node node, String job, List<StateWire.Condition> conditions, List<StateWire.Change> changes) {
    View.LiveJob live = node.view().job(job);
    if (live == null || !live.complete()) {
      return false;
    }
    Map.Entry<Integer, View.Kept<Records.Range>> any = live.ranges().firstEntry();
    Records.RangeKey key = new Records.RangeKey(job, any.getKey());
    conditions.add(new StateWire.Condition(Records.range(key), any.getValue().version()));
    return add(node, key, any.getValue().record(), conditions, changes);
  }
}
