package org.fieldtrestle.worker;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;

/**
 * What each team's tasks take of one shard's machines, kept up as tasks come and go: it is asked
 * for every task that is to be placed.
 */
public final class TeamUsage {
  private static final class Sum {
    int tasks;
    double cpus;
    double gpus;
  }

  private final Object2ObjectOpenHashMap<String, Sum> teams = new Object2ObjectOpenHashMap<>();

  void add(TaskAttempt task) {
    Sum sum = teams.computeIfAbsent(task.team, t -> new Sum());
    sum.tasks++;
    sum.cpus += task.cpus;
    sum.gpus += task.gpus;
  }

  void remove(TaskAttempt task) {
    Sum sum = teams.get(task.team);
    sum.cpus -= task.cpus;
    sum.gpus -= task.gpus;
    if (--sum.tasks == 0) {
      teams.remove(task.team); // and with it whatever rounding has left
    }
  }

  public double cpus(String team) {
    Sum sum = teams.get(team);
    return sum == null ? 0 : sum.cpus;
  }

  public double gpus(String team) {
    Sum sum = teams.get(team);
    return sum == null ? 0 : sum.gpus;
  }
}
