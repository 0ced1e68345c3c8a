package org.fieldtrestle.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * How many waiting tasks still need room to be freed for them. Room that stopping tasks are about
 * to leave is subtracted, highest priority and score first, so that no more is preempted than
 * needed.
 */
final class PreemptionDemand {
  /** Least CPUs by which a task is counted, as tasks may ask for none. */
  private static final double MIN_CPUS = 0.1;

  /** Tasks without room by group, in the order in which freed room is used. */
  private final Map<QueuedGroup<WaitingTasks>, Integer> unmet = new LinkedHashMap<>();

  PreemptionDemand(List<QueuedGroup<WaitingTasks>> unplaced) {
    List<QueuedGroup<WaitingTasks>> ordered = new ArrayList<>(unplaced);
    ordered.sort(
        Comparator.comparing((QueuedGroup<WaitingTasks> group) -> group.priority())
            .thenComparing(
                Comparator.comparingDouble(QueuedGroup<WaitingTasks>::score).reversed()));
    for (QueuedGroup<WaitingTasks> group : ordered) {
      unmet.put(group, group.count());
    }
  }

  /** Whether tasks of a group still need room. */
  boolean isUnmet(QueuedGroup<WaitingTasks> group) {
    return unmet.get(group) > 0;
  }

  /** Subtracts what fits into CPUs that a stopping task is about to leave. */
  void subtractStopping(double cpus) {
    double left = cpus;
    for (Map.Entry<QueuedGroup<WaitingTasks>, Integer> entry : unmet.entrySet()) {
      if (left < MIN_CPUS) {
        return;
      }
      double cpusPerTask = cpusPerTask(entry.getKey());
      int met = (int) Math.min(entry.getValue(), Math.floor(left / cpusPerTask + 1e-6));
      entry.setValue(entry.getValue() - met);
      left -= met * cpusPerTask;
    }
  }

  /** Subtracts what fits into CPUs that were freed for a group by preemption. */
  void subtractPreempted(QueuedGroup<WaitingTasks> group, double freedCpus) {
    // At least one task, or the next worker would be preempted for the same task again.
    int met = Math.max(1, (int) Math.floor(freedCpus / cpusPerTask(group)));
    unmet.merge(group, -met, (left, change) -> Math.max(0, left + change));
  }

  private static double cpusPerTask(QueuedGroup<WaitingTasks> group) {
    return Math.max(MIN_CPUS, group.tasks().range().record().cpus());
  }
}
