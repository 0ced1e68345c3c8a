package org.fieldtrestle.simulation.search;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fieldtrestle.simulation.SteppedCluster;
import org.fieldtrestle.simulation.SteppedCluster.Effect;
import org.fieldtrestle.simulation.SteppedCluster.Step;

/**
 * One scenario with faults at some of its steps, played once. The same run gives the same steps.
 */
final class ScenarioRun {
  private static final int MACHINES = 40;

  /** After the faults jobs have so long to end. */
  private static final long ENDS_WITHIN_MS = 500_000;

  private static final long CHECK_INTERVAL_MS = 5000;

  private final Scenario scenario;
  private final long seed;
  private final Map<Integer, FaultPlacement> placements = new HashMap<>();
  private final Map<FaultPlacement, Step> begun = new LinkedHashMap<>();
  private final List<Step> steps = new ArrayList<>();
  private SteppedCluster cluster;

  ScenarioRun(Scenario scenario, long seed, List<FaultPlacement> faults) {
    this.scenario = scenario;
    this.seed = seed;
    faults.forEach(placement -> placements.put(placement.step(), placement));
  }

  /**
   * How a run ended.
   *
   * @param broken the rules that were broken, empty where none was
   * @param steps the steps before which faults may be placed
   * @param stepCount all steps
   */
  record Result(List<String> broken, List<Step> steps, int stepCount) {
    boolean failed() {
      return !broken.isEmpty();
    }
  }

  /** Plays it up to the end of all jobs, or until they should have ended. */
  Result play() {
    cluster = new SteppedCluster(seed, MACHINES, this::before);
    scenario.plan(cluster);
    List<String> broken = new ArrayList<>();
    try {
      cluster.runUntil(scenario.faultsUntilMs());
      long end = cluster.faultsEndMs() + ENDS_WITHIN_MS;
      while (!over() && cluster.nowMs() < end) {
        cluster.runUntil(cluster.nowMs() + CHECK_INTERVAL_MS);
      }
      broken.addAll(cluster.violations());
      if (broken.isEmpty() && !cluster.unfinishedJobs().isEmpty()) {
        broken.add("never ended: " + cluster.unfinishedJobs());
      }
      addLateStarts(broken);
    } catch (SteppedCluster.StepLimitExceeded e) {
      broken.add("not played out: " + e.getMessage());
    }
    return new Result(broken, steps, cluster.stepCount());
  }

  private boolean over() {
    return cluster.unfinishedJobs().isEmpty()
        && cluster.nowMs() > cluster.faultsEndMs() + cluster.cancelMs();
  }

  /** A controller that may act so long after a confirmation has to know of it, whatever failed. */
  private void addLateStarts(List<String> broken) {
    long latest = cluster.latestStartCommandAfterCancellationMs();
    boolean stoodStill =
        placements.values().stream().anyMatch(one -> one.fault() == Fault.CONTROLLER_FROZEN);
    if (!stoodStill && latest > cluster.cancelMs() - cluster.workerLeaseMs()) {
      broken.add("started_cancelled: a start ordered " + latest + " ms after the confirmation");
    }
  }

  private Effect before(Step step) {
    if (scenario.placesFaultsAt(step.atMs())) {
      steps.add(step);
    }
    Effect effect = Effect.NONE;
    for (Map.Entry<FaultPlacement, Step> one : begun.entrySet()) {
      FaultPlacement earlier = one.getKey();
      Effect lasting = earlier.fault().effectOn(one.getValue(), step, earlier.lengthMs());
      effect = lasting == Effect.NONE ? effect : lasting;
    }
    FaultPlacement placement = placements.get(step.number());
    if (placement == null) {
      return effect;
    }
    begun.put(placement, step);
    Effect own = placement.fault().inject(cluster, step, placement.lengthMs());
    return own == Effect.NONE ? effect : own;
  }

  /** The steps before which faults were placed. */
  List<Step> faultSteps() {
    return steps.stream().filter(step -> placements.containsKey(step.number())).toList();
  }
}
