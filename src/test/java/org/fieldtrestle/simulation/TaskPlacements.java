package org.fieldtrestle.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** The machines on which each task runs, and the CPUs that each team uses. */
final class TaskPlacements {
  private final SimulatedCluster cluster;

  /** The machines of each running task, by job and task. */
  private final Map<String, Map<String, Set<String>>> machinesByTaskByJob = new HashMap<>();

  private final Map<String, Double> usedCpusByTeam = new HashMap<>();

  TaskPlacements(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void add(SimulatedJob job, String task, String machine) {
    Set<String> machines =
        machinesByTaskByJob
            .computeIfAbsent(job.id(), id -> new HashMap<>())
            .computeIfAbsent(task, name -> new HashSet<>());
    if (machines.add(machine)) {
      usedCpusByTeam.merge(job.team(), job.cpus(), Double::sum);
    }
  }

  void remove(SimulatedJob job, String task, String machine) {
    Map<String, Set<String>> machinesByTask = machinesByTaskByJob.getOrDefault(job.id(), Map.of());
    Set<String> machines = machinesByTask.getOrDefault(task, Set.of());
    if (!machines.contains(machine)) {
      return;
    }
    machines.remove(machine);
    usedCpusByTeam.merge(job.team(), -job.cpus(), Double::sum);
    if (machines.isEmpty()) {
      machinesByTask.remove(task);
    }
    if (machinesByTask.isEmpty()) {
      machinesByTaskByJob.remove(job.id());
    }
  }

  Set<String> machinesOf(SimulatedJob job, String task) {
    return machinesByTaskByJob.getOrDefault(job.id(), Map.of()).getOrDefault(task, Set.of());
  }

  /** Returns the number of running tasks of a job in each zone. */
  Map<String, Integer> countsByZone(SimulatedJob job) {
    Map<String, Integer> counts = new HashMap<>();
    for (Set<String> machines : machinesByTaskByJob.getOrDefault(job.id(), Map.of()).values()) {
      machines.forEach(machine -> counts.merge(cluster.zoneOf(machine), 1, Integer::sum));
    }
    return counts;
  }

  /** Returns the number of running tasks of a job; a task on two machines counts twice. */
  int taskCount(String jobId) {
    int count = 0;
    for (Set<String> machines : machinesByTaskByJob.getOrDefault(jobId, Map.of()).values()) {
      count += machines.size();
    }
    return count;
  }

  double usedCpus(String team) {
    return usedCpusByTeam.getOrDefault(team, 0.0);
  }

  /** Calls the action with each running task. */
  void forEachTask(Consumer<String> action) {
    machinesByTaskByJob.values().forEach(machinesByTask -> machinesByTask.keySet().forEach(action));
  }
}
