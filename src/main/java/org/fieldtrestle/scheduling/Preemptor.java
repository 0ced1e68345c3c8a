package org.fieldtrestle.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.MachineType;
import org.fieldtrestle.worker.TaskAttempt;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.Worker;
import org.fieldtrestle.worker.WorkerRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Preempts running tasks for waiting ones that fit nowhere, one worker at a time. */
final class Preemptor {
  private static final Logger LOG = LoggerFactory.getLogger(Preemptor.class);

  /** Time between two runs, in heartbeat intervals. */
  private static final double RUN_HEARTBEATS = 0.2;

  /** How long freed room is kept for the range that it was freed for, in heartbeat intervals. */
  private static final double CLAIM_HEARTBEATS = 2;

  private final ControllerContext context;
  private final SelectivePreemption falcon;
  private final WorkerRegistry workers;
  private final QuotaShares quotaShares;
  private final GuaranteedShares guaranteedShares;
  private final PlacementConstraints constraints;
  private final TaskPlacer.Decisions decisions;
  private final VictimSelector victimSelector;
  private long lastRunMs;

  Preemptor(
      ControllerContext context,
      SelectivePreemption falcon,
      WorkerRegistry workers,
      QuotaShares quotaShares,
      PlacementConstraints constraints,
      TaskPlacer.Decisions decisions) {
    this.context = context;
    this.falcon = falcon;
    this.workers = workers;
    this.quotaShares = quotaShares;
    this.constraints = constraints;
    this.decisions = decisions;
    this.guaranteedShares = new GuaranteedShares(context, workers);
    this.victimSelector = new VictimSelector(falcon, guaranteedShares);
  }

  /** Preempts for groups that found no room; does nothing if the last run was just before. */
  void preempt(List<QueuedGroup<WaitingTasks>> unplaced, long nowMs) {
    if (unplaced.isEmpty() || nowMs - lastRunMs < context.heartbeatIntervalsMs(RUN_HEARTBEATS)) {
      return;
    }
    lastRunMs = nowMs;
    if (!anyMayPreempt(unplaced, nowMs)) {
      return;
    }
    PreemptionDemand demand = new PreemptionDemand(unplaced);
    subtractStoppingTasks(demand, nowMs);
    Map<String, List<QueuedGroup<WaitingTasks>>> eligibleByKind = new HashMap<>();
    for (Worker worker : workers.all()) {
      MachineType type = context.type(worker.machineType());
      if (type == null
          || !workers.isUsable(worker, nowMs)
          || hasStoppingTask(worker)
          || !victimSelector.hasPossibleVictim(worker, nowMs)) {
        continue;
      }
      List<QueuedGroup<WaitingTasks>> eligible =
          constraints.isAvoidedByAnyJob(worker)
              ? eligibleOn(worker, type, unplaced, nowMs)
              : eligibleByKind.computeIfAbsent(
                  worker.machineType() + "/" + worker.zone() + "/" + worker.isSpot(),
                  kind -> eligibleOn(worker, type, unplaced, nowMs));
      List<QueuedGroup<WaitingTasks>> ready = unmetOn(worker, eligible, demand);
      if (!ready.isEmpty()) {
        preemptOn(worker, type, falcon.draw(ready), demand, nowMs);
      }
    }
  }

  private boolean anyMayPreempt(List<QueuedGroup<WaitingTasks>> unplaced, long nowMs) {
    for (QueuedGroup<WaitingTasks> group : unplaced) {
      if (mayPreempt(group.tasks(), nowMs)) {
        return true;
      }
    }
    return false;
  }

  /** Whether tasks have waited long enough to preempt others. */
  private boolean mayPreempt(WaitingTasks tasks, long nowMs) {
    double waitedS = tasks.waitedS(nowMs);
    JobSpec spec = tasks.range().spec();
    return waitedS >= context.preemptionDelayS(spec, false)
        || (waitedS >= context.preemptionDelayS(spec, true)
            && guaranteedShares.isGuaranteed(tasks.range()));
  }

  private void subtractStoppingTasks(PreemptionDemand demand, long nowMs) {
    for (Worker worker : workers.all()) {
      if (workers.isUsable(worker, nowMs)) {
        for (TaskAttempt task : worker.attempts()) {
          if (task.isLive() && task.isStopping()) {
            demand.subtractStopping(task.cpus());
          }
        }
      }
    }
  }

  private static boolean hasStoppingTask(Worker worker) {
    for (TaskAttempt task : worker.attempts()) {
      if (task.isLive() && task.isStopping()) {
        return true;
      }
    }
    return false;
  }

  /**
   * The groups that may preempt on a worker by condition C3. The paper's queue of the worker is all
   * that waits and may run there, which is the same for all workers of a kind.
   */
  private List<QueuedGroup<WaitingTasks>> eligibleOn(
      Worker worker, MachineType type, List<QueuedGroup<WaitingTasks>> unplaced, long nowMs) {
    List<QueuedGroup<WaitingTasks>> queue = new ArrayList<>();
    for (QueuedGroup<WaitingTasks> group : unplaced) {
      TaskRange range = group.tasks().range();
      int offset = group.tasks().firstOffset();
      if (offset >= 0
          && type.fits(range.spec())
          && constraints.allow(range, offset, worker)
          && quotaShares.allows(range.spec())) {
        queue.add(group);
      }
    }
    List<QueuedGroup<WaitingTasks>> eligible = new ArrayList<>();
    for (QueuedGroup<WaitingTasks> group : falcon.fulfillingRankCondition(queue)) {
      if (mayPreempt(group.tasks(), nowMs)) {
        eligible.add(group);
      }
    }
    return eligible;
  }

  private List<QueuedGroup<WaitingTasks>> unmetOn(
      Worker worker, List<QueuedGroup<WaitingTasks>> eligible, PreemptionDemand demand) {
    List<QueuedGroup<WaitingTasks>> unmet = new ArrayList<>();
    for (QueuedGroup<WaitingTasks> group : eligible) {
      WaitingTasks tasks = group.tasks();
      if (demand.isUnmet(group) && constraints.allow(tasks.range(), tasks.firstOffset(), worker)) {
        unmet.add(group);
      }
    }
    return unmet;
  }

  /** Makes room for one task of a group on a worker, if enough can be freed. */
  private void preemptOn(
      Worker worker,
      MachineType type,
      QueuedGroup<WaitingTasks> group,
      PreemptionDemand demand,
      long nowMs) {
    TaskRange range = group.tasks().range();
    double freedCpus = 0;
    for (TaskAttempt victim : victimSelector.select(group, worker, type, nowMs)) {
      freedCpus += victim.cpus();
      stop(victim, range.spec());
    }
    if (freedCpus > 0) {
      worker.claim(range, nowMs + context.heartbeatIntervalsMs(CLAIM_HEARTBEATS));
      demand.subtractPreempted(group, freedCpus);
    }
  }

  private void stop(TaskAttempt victim, JobSpec preemptedBy) {
    LOG.debug("task {} preempted by {} ({})", victim, preemptedBy.id(), preemptedBy.priority());
    context.metrics().countEvicted();
    JobSpec spec = victim.range().spec();
    decisions.stop(victim, spec.hasCheckpoints() ? spec.saveS() : 0);
  }
}
