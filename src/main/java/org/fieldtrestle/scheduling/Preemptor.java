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

/**
 * Preempts running tasks in favour of waiting tasks that fit on no worker. Tasks are preempted on
 * one worker after another.
 */
final class Preemptor {
  private static final Logger LOG = LoggerFactory.getLogger(Preemptor.class);

  /** Minimum time between two runs, in heartbeat intervals. */
  private static final double MIN_RUN_INTERVAL_HEARTBEATS = 0.2;

  /**
   * How long the resources freed by preemption are kept for the range that they were freed for, in
   * heartbeat intervals.
   */
  private static final double CLAIM_HEARTBEATS = 2;

  private final ControllerContext context;
  private final SelectivePreemption selectivePreemption;
  private final WorkerRegistry workers;
  private final QuotaShares quotaShares;
  private final GuaranteedShares guaranteedShares;
  private final PlacementConstraints constraints;
  private final TaskPlacer.PlacementExecutor executor;
  private final VictimSelector victimSelector;
  private long lastRunMs;

  Preemptor(
      ControllerContext context,
      SelectivePreemption selectivePreemption,
      WorkerRegistry workers,
      QuotaShares quotaShares,
      PlacementConstraints constraints,
      TaskPlacer.PlacementExecutor executor) {
    this.context = context;
    this.selectivePreemption = selectivePreemption;
    this.workers = workers;
    this.quotaShares = quotaShares;
    this.constraints = constraints;
    this.executor = executor;
    this.guaranteedShares = new GuaranteedShares(context, workers);
    this.victimSelector = new VictimSelector(selectivePreemption, guaranteedShares);
  }

  /**
   * Preempts running tasks for the groups that could not be placed. Does nothing if the previous
   * run was too recent.
   */
  void preempt(List<QueuedGroup<WaitingTasks>> unplaced, long nowMs) {
    if (unplaced.isEmpty()
        || nowMs - lastRunMs < context.heartbeatIntervalsMs(MIN_RUN_INTERVAL_HEARTBEATS)) {
      return;
    }
    lastRunMs = nowMs;
    if (!anyMayPreempt(unplaced, nowMs)) {
      return;
    }
    PreemptionDemand demand = new PreemptionDemand(unplaced);
    subtractStoppingTasks(demand, nowMs);
    Map<String, List<QueuedGroup<WaitingTasks>>> eligibleByWorkerKind = new HashMap<>();
    for (Worker worker : workers.all()) {
      MachineType type = context.machineType(worker.machineType());
      if (type == null
          || !workers.isUsable(worker, nowMs)
          || hasStoppingTask(worker)
          || !victimSelector.hasPossibleVictim(worker, nowMs)) {
        continue;
      }
      List<QueuedGroup<WaitingTasks>> eligible =
          constraints.isAvoidedByAnyJob(worker)
              ? eligibleOn(worker, type, unplaced, nowMs)
              : eligibleByWorkerKind.computeIfAbsent(
                  worker.machineType() + "/" + worker.zone() + "/" + worker.isSpot(),
                  kind -> eligibleOn(worker, type, unplaced, nowMs));
      List<QueuedGroup<WaitingTasks>> unmetGroups = unmetGroupsOn(worker, eligible, demand);
      if (!unmetGroups.isEmpty()) {
        preemptOn(worker, type, selectivePreemption.draw(unmetGroups), demand, nowMs);
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

  /** Whether waiting tasks have waited long enough to preempt running ones. */
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
   * Returns the groups that may preempt on a worker: those that fulfil condition C3 of the Falcon
   * paper and have waited long enough. The queue of a worker, in the sense of the paper, consists
   * of all waiting tasks that may run on it. It is the same for all workers of one kind, that is,
   * of the same machine type and zone, and either spot or ordinary.
   */
  private List<QueuedGroup<WaitingTasks>> eligibleOn(
      Worker worker, MachineType type, List<QueuedGroup<WaitingTasks>> unplaced, long nowMs) {
    List<QueuedGroup<WaitingTasks>> queue = new ArrayList<>();
    for (QueuedGroup<WaitingTasks> group : unplaced) {
      TaskRange range = group.tasks().range();
      int offset = group.tasks().firstOffset();
      if (offset >= 0 && type.fits(range.spec()) && constraints.allow(range, offset, worker)) {
        if (quotaShares.allows(range.spec())) {
          queue.add(group);
        } else if (mayPreempt(group.tasks(), nowMs)) {
          quotaShares.recordRefusal(range.spec(), 1);
        }
      }
    }
    List<QueuedGroup<WaitingTasks>> eligible = new ArrayList<>();
    for (QueuedGroup<WaitingTasks> group :
        selectivePreemption.groupsFulfillingRankCondition(queue)) {
      if (mayPreempt(group.tasks(), nowMs)) {
        eligible.add(group);
      }
    }
    return eligible;
  }

  private List<QueuedGroup<WaitingTasks>> unmetGroupsOn(
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

  /**
   * Stops tasks of a worker to make room for one task of a group, if enough resources can be freed.
   */
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
    LOG.debug(
        "preempting task {} for job {} of priority {}",
        victim,
        preemptedBy.id(),
        preemptedBy.priority());
    context.metrics().countPreempted();
    JobSpec spec = victim.range().spec();
    executor.stop(victim, spec.hasCheckpoints() ? spec.saveTimeS() : 0);
  }
}
