package org.fieldtrestle.worker;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;

/**
 * What each team's tasks take of one shard's workers. The sums are kept up as tasks come and go, as
 * they are asked for with every task that is to be placed.
 */
public final class TeamUsage {
  private static final class Sum {
    int tasks;
    double cpus;
    double gpus;
  }

  private final Object2ObjectOpenHashMap<String, Sum> teams = new Object2ObjectOpenHashMap<>();

  void add(TaskAttempt attempt) {
    Sum sum = teams.computeIfAbsent(attempt.team(), t -> new Sum());
    sum.tasks++;
    sum.cpus += attempt.cpus();
    sum.gpus += attempt.gpus();
  }

  void remove(TaskAttempt attempt) {
    Sum sum = teams.get(attempt.team());
    sum.cpus -= attempt.cpus();
    sum.gpus -= attempt.gpus();
    if (--sum.tasks == 0) {
      teams.remove(attempt.team()); // drops what rounding has left
    }
  }

  /** CPUs that the team's tasks take. */
  public double cpus(String team) {
    Sum sum = teams.get(team);
    return sum == null ? 0 : sum.cpus;
  }

  /** GPUs that the team's tasks take. */
  public double gpus(String team) {
    Sum sum = teams.get(team);
    return sum == null ? 0 : sum.gpus;
  }
}
