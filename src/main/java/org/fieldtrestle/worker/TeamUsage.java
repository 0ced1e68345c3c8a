package org.fieldtrestle.worker;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;

/**
 * The resources that each team's tasks use on the workers of a shard. The sums are updated as
 * attempts are added and removed because they are read for every task that is to be placed.
 */
public final class TeamUsage {
  private static final class Sum {
    int tasks;
    double cpus;
    double gpus;
  }

  private final Object2ObjectOpenHashMap<String, Sum> usageByTeam =
      new Object2ObjectOpenHashMap<>();

  void add(TaskAttempt attempt) {
    Sum sum = usageByTeam.computeIfAbsent(attempt.team(), t -> new Sum());
    sum.tasks++;
    sum.cpus += attempt.cpus();
    sum.gpus += attempt.gpus();
  }

  void remove(TaskAttempt attempt) {
    Sum sum = usageByTeam.get(attempt.team());
    sum.cpus -= attempt.cpus();
    sum.gpus -= attempt.gpus();
    if (--sum.tasks == 0) {
      usageByTeam.remove(attempt.team()); // removes rounding errors
    }
  }

  /** Returns the CPUs that the team's tasks use. */
  public double cpus(String team) {
    Sum sum = usageByTeam.get(team);
    return sum == null ? 0 : sum.cpus;
  }

  /** Returns the GPUs that the team's tasks use. */
  public double gpus(String team) {
    Sum sum = usageByTeam.get(team);
    return sum == null ? 0 : sum.gpus;
  }
}
