package org.fieldtrestle.simulation;

import java.util.Map;
import java.util.Set;

/** A task is on one machine at a time, on one that its job allows, within its team's quota. */
final class PlacementInvariants {
  private static final double ROUNDING_CPUS = 1e-6;

  private final Violations violations;
  private final TaskPlacements placements;

  PlacementInvariants(Violations violations, TaskPlacements placements) {
    this.violations = violations;
    this.placements = placements;
  }

  /** Whether so many CPUs are more than a team's quota. */
  static boolean exceedsQuota(String team, double cpus) {
    return cpus > ClusterLayout.quotaCpus(team) + ROUNDING_CPUS;
  }

  /** Whether a machine has the type and the zone that a job asks for. */
  static boolean allows(SimulatedJob job, SimulatedWorker machine) {
    return (job.type() == null || job.type().equals(machine.type))
        && (job.zone() == null || job.zone().equals(machine.zone))
        && (job.spot() || !machine.spot);
  }

  /** Checks a start and notes it. */
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
    if (exceedsQuota(job.team(), usedCpus)) {
      violations.add("quota", job.team() + " uses " + usedCpus);
    }
    checkZones(job, task);
  }

  private void checkZones(SimulatedJob job, String task) {
    Map<String, Integer> counts = placements.countsByZone(job);
    if (job.oneZone() && counts.size() > 1) {
      violations.add("wrong_place", task + " is in a second zone: " + counts);
    }
    if (job.spread() && counts.values().stream().anyMatch(n -> n > job.zoneLimit())) {
      violations.add("wrong_place", task + " is one too many in its zone: " + counts);
    }
  }
}
