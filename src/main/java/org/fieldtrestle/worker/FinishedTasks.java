package org.fieldtrestle.worker;

import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The tasks of one range that finished but whose completion is not durable yet. Their attempts stay
 * on the workers, which keep the result, until it is.
 */
final class FinishedTasks {
  private final BitSet offsets = new BitSet();
  private final Set<TaskAttempt> heldAttempts = new HashSet<>();

  void add(int offset) {
    offsets.set(offset);
  }

  /** The attempt must not be cleared before its completion is durable. */
  void hold(TaskAttempt attempt) {
    heldAttempts.add(attempt);
  }

  /** The attempt is no longer on its worker. */
  void drop(TaskAttempt attempt) {
    heldAttempts.remove(attempt);
  }

  /** These tasks are durably done. */
  void followDone(BitSet done) {
    offsets.andNot(done);
    for (TaskAttempt attempt : List.copyOf(heldAttempts)) {
      if (done.get(attempt.offset())) {
        attempt.markClearable();
        heldAttempts.remove(attempt);
      }
    }
  }

  /** The job has ended, so that nothing has to be written any more. */
  void clearAllHeld() {
    for (TaskAttempt attempt : heldAttempts) {
      attempt.markClearable();
    }
    heldAttempts.clear();
  }

  /** The range is no longer this shard's: its attempts are to be cleared and belong to none. */
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
