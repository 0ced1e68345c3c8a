package org.fieldtrestle.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fieldtrestle.protocol.JobSpec;

/**
 * Counts the waiting tasks for which resources still have to be freed. Tasks that fit into
 * resources which stopping tasks are about to release are subtracted, highest priority and score
 * first, so that no more tasks are preempted than necessary.
 */
final class PreemptionDemand {
  /**
   * Number of tasks without room by group, in the order in which the groups use freed resources.
   */
  private final Map<QueuedGroup<WaitingTasks>, Integer> unmetTasks = new LinkedHashMap<>();

  PreemptionDemand(List<QueuedGroup<WaitingTasks>> unplaced) {
    List<QueuedGroup<WaitingTasks>> ordered = new ArrayList<>(unplaced);
    ordered.sort(
        Comparator.comparing((QueuedGroup<WaitingTasks> group) -> group.priority())
            .thenComparing(
                Comparator.comparingDouble(QueuedGroup<WaitingTasks>::score).reversed()));
    for (QueuedGroup<WaitingTasks> group : ordered) {
      unmetTasks.put(group, group.count());
    }
  }

  /** Whether resources still have to be freed for tasks of a group. */
  boolean isUnmet(QueuedGroup<WaitingTasks> group) {
    return unmetTasks.get(group) > 0;
  }

  /** Subtracts the tasks that fit into the CPUs that a stopping task is about to release. */
  void subtractStopping(double cpus) {
    double remaining = cpus;
    for (Map.Entry<QueuedGroup<WaitingTasks>, Integer> entry : unmetTasks.entrySet()) {
      if (remaining < JobSpec.MIN_COUNTED_CPUS) {
        return;
      }
      double cpusPerTask = cpusPerTask(entry.getKey());
      int met = (int) Math.min(entry.getValue(), Math.floor(remaining / cpusPerTask + 1e-6));
      entry.setValue(entry.getValue() - met);
      remaining -= met * cpusPerTask;
    }
  }

  /** Subtracts the tasks of a group that fit into the CPUs freed for it by preemption. */
  void subtractPreempted(QueuedGroup<WaitingTasks> group, double freedCpus) {
    // Subtracts at least one task; otherwise tasks of the next worker would be preempted for the
    // same task again.
    int met = Math.max(1, (int) Math.floor(freedCpus / cpusPerTask(group)));
    unmetTasks.merge(group, -met, (remaining, change) -> Math.max(0, remaining + change));
  }

  private static double cpusPerTask(QueuedGroup<WaitingTasks> group) {
    return Math.max(JobSpec.MIN_COUNTED_CPUS, group.tasks().range().record().cpus());
  }
}
