package org.fieldtrestle.scheduling;

import org.fieldtrestle.worker.TaskRange;

/**
 * Tasks of a range that have waited equally long: either all tasks that were never placed, or a
 * single task that waits for its next attempt.
 *
 * @param range the range to which the tasks belong
 * @param offset the offset within the range of the task that waits for its next attempt, or {@link
 *     #NEVER_PLACED}
 * @param overdue whether the job has waited so long to start that its first task is placed before
 *     all others
 */
record WaitingTasks(TaskRange range, int offset, boolean overdue) {
  /** Used as the offset of all tasks of a range that were never placed. */
  static final int NEVER_PLACED = -1;

  WaitingTasks(TaskRange range, int offset) {
    this(range, offset, false);
  }

  private boolean hasNeverBeenPlaced() {
    return offset < 0;
  }

  /**
   * Returns the offset within the range of the task that is placed next; negative if none is left.
   */
  int firstOffset() {
    return hasNeverBeenPlaced() ? range.freshOffsets().nextSetBit(0) : offset;
  }

  /** Returns for how many seconds the tasks have waited. */
  double waitedS(long nowMs) {
    long sinceMs =
        hasNeverBeenPlaced()
            ? range.waitingSinceMs()
            : range.retries().get(offset).waitingSinceMs();
    return (nowMs - sinceMs) / 1000.0;
  }
}
