package org.fieldtrestle.worker;

import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The tasks of a range that have finished but whose completion is not durable yet. Until it is
 * durable, their attempts stay on the workers, which keep the results.
 */
final class FinishedTasks {
  private final BitSet offsets = new BitSet();
  private final Set<TaskAttempt> heldAttempts = new HashSet<>();

  void add(int offset) {
    offsets.set(offset);
  }

  /** Keeps the attempt from being cleared before its completion is durable. */
  void hold(TaskAttempt attempt) {
    heldAttempts.add(attempt);
  }

  /** Called when the attempt is no longer on its worker. */
  void drop(TaskAttempt attempt) {
    heldAttempts.remove(attempt);
  }

  /** Called when these tasks are durably done. */
  void followDone(BitSet done) {
    offsets.andNot(done);
    for (TaskAttempt attempt : List.copyOf(heldAttempts)) {
      if (done.get(attempt.offset())) {
        attempt.markClearable();
        heldAttempts.remove(attempt);
      }
    }
  }

  /**
   * Allows all held attempts to be cleared. Called when the job has ended and no completion remains
   * to be written.
   */
  void clearAllHeld() {
    for (TaskAttempt attempt : heldAttempts) {
      attempt.markClearable();
    }
    heldAttempts.clear();
  }

  /**
   * Called when the range no longer belongs to this shard: its attempts are to be cleared and no
   * longer belong to a range.
   */
  void detachAllHeld() {
    for (TaskAttempt attempt : heldAttempts) {
      attempt.detachRange();
      attempt.markClearable();
    }
  }

  BitSet offsets() {
    return offsets;
  }
}
