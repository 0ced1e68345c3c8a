package org.fieldtrestle.worker;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fieldtrestle.protocol.MachineType;
import org.fieldtrestle.protocol.TaskId;

/**
 * The attempts that are or may be on a worker, and the resources used by those that have not ended.
 * The sums are updated with every change because placement passes and heartbeats read them often.
 */
final class AttemptTable {
  private final Map<TaskId, TaskAttempt> attempts = new HashMap<>();
  private final TeamUsage teamUsage;
  private int liveCount;
  private int awaitingImage;
  private double usedCpus;
  private double usedGpus;
  private double usedMemoryGb;

  AttemptTable(TeamUsage teamUsage) {
    this.teamUsage = teamUsage;
  }

  TaskAttempt get(TaskId task) {
    return attempts.get(task);
  }

  Collection<TaskAttempt> all() {
    return attempts.values();
  }

  List<TaskAttempt> copy() {
    return List.copyOf(attempts.values());
  }

  int size() {
    return attempts.size();
  }

  void put(TaskAttempt attempt) {
    TaskAttempt previous = attempts.put(attempt.task(), attempt);
    if (previous != null) {
      count(previous, -1);
    }
    count(attempt, 1);
  }

  void remove(TaskAttempt attempt) {
    if (attempts.remove(attempt.task(), attempt)) {
      count(attempt, -1);
    }
  }

  /** Changes the state of an attempt, which may have been removed from this table before. */
  void changeState(TaskAttempt attempt, TaskAttempt.State next) {
    if (attempt.state() == next) {
      return;
    }
    boolean counted = attempts.get(attempt.task()) == attempt;
    if (counted) {
      count(attempt, -1);
    }
    attempt.setState(next);
    if (counted) {
      count(attempt, 1);
    }
  }

  private void count(TaskAttempt attempt, int sign) {
    if (!attempt.isLive()) {
      return;
    }
    liveCount += sign;
    awaitingImage += attempt.state().isAwaitingImage() ? sign : 0;
    usedCpus += sign * attempt.cpus();
    usedGpus += sign * attempt.gpus();
    usedMemoryGb += sign * attempt.memoryGb();
    if (sign > 0) {
      teamUsage.add(attempt);
    } else {
      teamUsage.remove(attempt);
    }
    if (liveCount == 0) { // removes rounding errors
      usedCpus = 0;
      usedGpus = 0;
      usedMemoryGb = 0;
    }
  }

  /** Whether all attempts on the worker have ended. */
  boolean isEmpty() {
    return liveCount == 0;
  }

  /** Whether any attempt is still waiting for its image. */
  boolean isFetching() {
    return awaitingImage > 0;
  }

  double usedCpus() {
    return usedCpus;
  }

  FreeResources freeResources(Worker worker, MachineType type) {
    return new FreeResources(
        worker,
        type,
        type.cpus() - usedCpus,
        type.gpus() - usedGpus,
        type.memoryGb() - usedMemoryGb);
  }
}
