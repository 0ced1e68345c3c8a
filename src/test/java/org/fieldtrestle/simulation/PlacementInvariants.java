package org.fieldtrestle.simulation;

import java.util.Map;
import java.util.Set;

/**
 * Checks that a task runs on one machine at a time, on a machine that its job allows, and within
 * the quota of its team.
 */
final class PlacementInvariants {
  private final SimulatedCluster cluster;
  private final Violations violations;
  private final TaskPlacements placements;

  PlacementInvariants(SimulatedCluster cluster, Violations violations, TaskPlacements placements) {
    this.cluster = cluster;
    this.violations = violations;
    this.placements = placements;
  }

  /** Whether the type, the zone and the kind (spot or not) of a machine meet the needs of a job. */
  static boolean allows(SimulatedJob job, SimulatedWorker machine) {
    return (job.type() == null || job.type().equals(machine.type))
        && (job.zone() == null || job.zone().equals(machine.zone))
        && (job.spot() || !machine.spot);
  }

  /** Checks the start of a task and records its placement. */
  void onStarted(SimulatedJob job, String task, SimulatedWorker machine) {
    Set<String> machines = placements.machinesOf(job, task);
    if (!machines.isEmpty()) {
      violations.add("ran_twice", task + " starts on " + machine.id + " while on " + machines);
    }
    placements.add(job, task, machine.id);
    if (!allows(job, machine)) {
      violations.add("wrong_place", task + " starts on " + machine.id);
    }
    double usedCpus = placements.usedCpus(job.team());
    if (cluster.exceedsQuota(job.team(), usedCpus)) {
      violations.add("quota", job.team() + " uses " + usedCpus);
    }
    checkZones(job, task);
  }

  private void checkZones(SimulatedJob job, String task) {
    Map<String, Integer> tasksByZone = placements.countsByZone(job);
    if (job.oneZone() && tasksByZone.size() > 1) {
      violations.add("wrong_place", task + " is in a second zone: " + tasksByZone);
    }
    if (job.spread() && tasksByZone.values().stream().anyMatch(tasks -> tasks > job.zoneLimit())) {
      violations.add("wrong_place", task + " is one too many in its zone: " + tasksByZone);
    }
  }
}
