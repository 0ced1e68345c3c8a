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

/** Collects the tasks that may be placed now, grouped by waiting time, with their scores. */
final class WaitingTaskCollector {
  /** A job counts as late once this share of its estimate no longer fits before its deadline. */
  private static final double LATE_ESTIMATE_SHARE = 0.7;

  /**
   * A job of which nothing has begun after so many boots of a machine, one after the other, gets
   * its first task placed before all others. Priorities come before scores, so that a burst of a
   * higher priority would otherwise starve the job however long it waits.
   */
  private static final double OVERDUE_BOOTS = 3;

  private final ControllerContext context;
  private final CommandPolicy policy;
  private final SelectivePreemption falcon;
  private final WorkerRegistry workers;
  private final TaskRanges ranges;
  private final TaskPlacer.Decisions decisions;

  WaitingTaskCollector(
      ControllerContext context,
      CommandPolicy policy,
      SelectivePreemption falcon,
      WorkerRegistry workers,
      TaskRanges ranges,
      TaskPlacer.Decisions decisions) {
    this.context = context;
    this.policy = policy;
    this.falcon = falcon;
    this.workers = workers;
    this.ranges = ranges;
    this.decisions = decisions;
  }

  /** Returns all groups that may be placed; stops what is left of gangs that have lost a task. */
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
              falcon.score(spec.estimateS(), waitedS(range, nowMs)),
              range.waitingCount()));
    } else {
      // A task of the gang was lost: the others cannot go on without it.
      List.copyOf(range.placed().values()).forEach(task -> decisions.stop(task, spec.saveS()));
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
              falcon.score(spec.estimateS(), waitedS(range, nowMs)),
              1));
    }
    if (count > 0) {
      groups.add(
          new QueuedGroup<>(
              new WaitingTasks(range, WaitingTasks.NEVER_PLACED),
              spec.priority(),
              falcon.score(spec.estimateS(), scoredWaitS(range, range.waitingSinceMs(), nowMs)),
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
                falcon.score(spec.estimateS(), scoredWaitS(range, retry.waitingSinceMs(), nowMs)),
                1));
      }
    }
  }

  /** Whether a job of which nothing has begun has starved; only its first range answers yes. */
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
   * The waiting time in seconds that a score uses. For a job that can no longer meet its deadline
   * it starts anew, an exception to the paper: on a full fleet, late jobs would otherwise make all
   * others late too.
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
