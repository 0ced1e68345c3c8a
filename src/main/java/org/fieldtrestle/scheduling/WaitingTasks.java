package org.fieldtrestle.scheduling;

import org.fieldtrestle.worker.TaskRange;

/**
 * Tasks of a range that have waited equally long: all that were never placed, or a single one that
 * waits for its next attempt.
 *
 * @param range the range that the tasks belong to
 * @param offset the offset in the range of a task that waits for its next attempt, or {@link
 *     #NEVER_PLACED}
 * @param overdue whether the job has waited so long to begin that its first task is placed before
 *     all others
 */
record WaitingTasks(TaskRange range, int offset, boolean overdue) {
  /** In place of an offset: all tasks of the range that were never placed. */
  static final int NEVER_PLACED = -1;

  WaitingTasks(TaskRange range, int offset) {
    this(range, offset, false);
  }

  private boolean neverPlaced() {
    return offset < 0;
  }

  /** The offset in the range of the task that is placed next; negative where none is left. */
  int firstOffset() {
    return neverPlaced() ? range.freshOffsets().nextSetBit(0) : offset;
  }

  /** For how many seconds the tasks have waited. */
  double waitedS(long nowMs) {
    long sinceMs =
        neverPlaced() ? range.waitingSinceMs() : range.retries().get(offset).waitingSinceMs();
    return (nowMs - sinceMs) / 1000.0;
  }
}
