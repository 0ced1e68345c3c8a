package org.fieldtrestle.scheduling;

import java.util.ArrayList;
import java.util.List;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.metrics.StartRefusal;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.Priority;
import org.fieldtrestle.worker.CommandPolicy;
import org.fieldtrestle.worker.Retry;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.TaskRanges;
import org.fieldtrestle.worker.WorkerRegistry;

/**
 * Collects the waiting tasks that may be placed now, in groups of equal waiting time, and scores
 * them.
 */
final class WaitingTaskCollector {
  /**
   * A job counts as late once this share of its estimated run time no longer fits before its
   * deadline.
   */
  private static final double LATE_ESTIMATE_SHARE = 0.7;

  /**
   * Waiting time, in boot times of a machine, after which the first task of a job that has not
   * started is placed before all others. Priorities take precedence over scores, so a burst of jobs
   * of a higher priority would otherwise starve the job, however long it waits.
   */
  private static final double OVERDUE_BOOTS = 3;

  private final ControllerContext context;
  private final CommandPolicy policy;
  private final SelectivePreemption selectivePreemption;
  private final WorkerRegistry workers;
  private final TaskRanges ranges;
  private final TaskPlacer.PlacementExecutor executor;

  WaitingTaskCollector(
      ControllerContext context,
      CommandPolicy policy,
      SelectivePreemption selectivePreemption,
      WorkerRegistry workers,
      TaskRanges ranges,
      TaskPlacer.PlacementExecutor executor) {
    this.context = context;
    this.policy = policy;
    this.selectivePreemption = selectivePreemption;
    this.workers = workers;
    this.ranges = ranges;
    this.executor = executor;
  }

  /**
   * Returns all groups of tasks that may be placed now, and stops the remaining tasks of gangs that
   * have lost a task.
   */
  List<QueuedGroup<WaitingTasks>> collect(long nowMs) {
    List<QueuedGroup<WaitingTasks>> groups = new ArrayList<>();
    for (TaskRange range : ranges.all()) {
      if (range.spec() == null || range.waitingCount() == 0 || !mayStart(range)) {
        continue;
      }
      if (range.spec().kind() == JobSpec.Kind.GANG) {
        collectGang(range, nowMs, groups);
      } else {
        collectNeverPlaced(range, nowMs, groups);
        collectRetries(range, nowMs, groups);
      }
    }
    return groups;
  }

  private boolean mayStart(TaskRange range) {
    if (ranges.mayHaveUnreportedTasks(range)) {
      policy.countRefusal(StartRefusal.MACHINES_UNRESOLVED);
      return false;
    }
    return policy.mayStart(range);
  }

  private void collectGang(TaskRange range, long nowMs, List<QueuedGroup<WaitingTasks>> groups) {
    JobSpec spec = range.spec();
    if (range.placed().isEmpty() && range.mayRetryAll(nowMs) && !hasDuplicates(range)) {
      groups.add(
          new QueuedGroup<>(
              new WaitingTasks(range, WaitingTasks.NEVER_PLACED),
              spec.priority(),
              selectivePreemption.score(spec.estimateS(), waitedS(range, nowMs)),
              range.waitingCount()));
    } else {
      // A task of the gang was lost, and the others cannot continue without it.
      List.copyOf(range.placed().values()).forEach(task -> executor.stop(task, spec.saveTimeS()));
    }
  }

  private boolean hasDuplicates(TaskRange range) {
    for (int offset : range.retries().keySet()) {
      if (workers.hasDuplicate(range, offset)) {
        return true;
      }
    }
    return false;
  }

  private void collectNeverPlaced(
      TaskRange range, long nowMs, List<QueuedGroup<WaitingTasks>> groups) {
    JobSpec spec = range.spec();
    int count = range.freshOffsets().cardinality();
    if (count > 0 && isOverdue(range, nowMs)) {
      count--;
      groups.add(
          new QueuedGroup<>(
              new WaitingTasks(range, WaitingTasks.NEVER_PLACED, true),
              Priority.CRITICAL,
              selectivePreemption.score(spec.estimateS(), waitedS(range, nowMs)),
              1));
    }
    if (count > 0) {
      groups.add(
          new QueuedGroup<>(
              new WaitingTasks(range, WaitingTasks.NEVER_PLACED),
              spec.priority(),
              selectivePreemption.score(
                  spec.estimateS(), scoredWaitS(range, range.waitingSinceMs(), nowMs)),
              count));
    }
  }

  private void collectRetries(TaskRange range, long nowMs, List<QueuedGroup<WaitingTasks>> groups) {
    JobSpec spec = range.spec();
    for (var entry : range.retries().int2ObjectEntrySet()) {
      Retry retry = entry.getValue();
      int offset = entry.getIntKey();
      if (retry.notBeforeMs() <= nowMs && !workers.hasDuplicate(range, offset)) {
        groups.add(
            new QueuedGroup<>(
                new WaitingTasks(range, offset),
                spec.priority(),
                selectivePreemption.score(
                    spec.estimateS(), scoredWaitS(range, retry.waitingSinceMs(), nowMs)),
                1));
      }
    }
  }

  /**
   * Whether a job has waited too long without any of its tasks starting. True only for the first
   * range of a job.
   */
  private boolean isOverdue(TaskRange range, long nowMs) {
    return range.placed().isEmpty()
        && range.retries().isEmpty()
        && range.finishedOffsets().isEmpty()
        && range.record().done().isEmpty()
        && nowMs - range.waitingSinceMs() > context.shortestBootS() * 1000 * OVERDUE_BOOTS
        && context.stateCache().rangesOf(range.key().job()).firstKey() == range.key().index();
  }

  private static double waitedS(TaskRange range, long nowMs) {
    return (nowMs - range.waitingSinceMs()) / 1000.0;
  }

  /**
   * Returns the waiting time in seconds that the score uses. Once a job can no longer meet its
   * deadline, its waiting time counts from that moment (a deviation from the paper): on a full
   * fleet, late jobs would otherwise make all others late too.
   */
  private static double scoredWaitS(TaskRange range, long sinceMs, long nowMs) {
    JobSpec spec = range.spec();
    double waitedS = (nowMs - sinceMs) / 1000.0;
    if (spec.deadlineS() < 0) {
      return waitedS;
    }
    double lateS =
        waitedS(range, nowMs) + spec.estimateS() * LATE_ESTIMATE_SHARE - spec.deadlineS();
    return lateS > 0 ? Math.min(waitedS, lateS) : waitedS;
  }
}
