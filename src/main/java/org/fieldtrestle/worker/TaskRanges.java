package org.fieldtrestle.worker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.TaskId;
import org.fieldtrestle.state.ActiveJob;
import org.fieldtrestle.state.RangeRecord;
import org.fieldtrestle.state.StateKey;
import org.fieldtrestle.state.Versioned;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A shard's task ranges, kept as the state cache shows them; stops what must not run. */
public final class TaskRanges {
  private static final Logger LOG = LoggerFactory.getLogger(TaskRanges.class);

  /** Heartbeat intervals after which a task that was not stopped yet is worth a line in the log. */
  private static final double LOG_PENDING_STOP_AFTER_INTERVALS = 3;

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final CommandPolicy policy;
  private final WorkerRegistry workers;
  private final WorkerCommands commands;
  private final RangeProgressWriter progress;
  private final TaskOutcomes outcomes;
  private final ShardEvents events;
  private final TreeMap<StateKey.RangeKey, TaskRange> ranges = new TreeMap<>();
  private final Map<String, List<TaskRange>> byJob = new HashMap<>();

  /** No ranges yet; {@link #sync} adds them. */
  public TaskRanges(
      ControllerContext context,
      LeadershipTerm term,
      WorkerRegistry workers,
      WorkerCommands commands,
      RangeProgressWriter progress,
      TaskOutcomes outcomes,
      ShardEvents events) {
    this.context = context;
    this.term = term;
    this.policy = term.policy();
    this.workers = workers;
    this.commands = commands;
    this.progress = progress;
    this.outcomes = outcomes;
    this.events = events;
  }

  /** All ranges in the order of their keys. */
  public Iterable<TaskRange> all() {
    return ranges.values();
  }

  /** How many ranges there are. */
  public int count() {
    return ranges.size();
  }

  /** The ranges of a job that are this shard's. */
  public List<TaskRange> ofJob(String job) {
    return byJob.getOrDefault(job, List.of());
  }

  /** The range that a task is in; null where it is none of this shard's. */
  TaskRange of(TaskId task) {
    for (TaskRange range : ofJob(task.job())) {
      if (range.contains(task.index())) {
        return range;
      }
    }
    return null;
  }

  /** CPUs that the waiting tasks would take. */
  public double waitingCpus() {
    double waiting = 0;
    for (TaskRange range : ranges.values()) {
      if (!policy.mustStop(range)) {
        waiting += range.waiting() * range.record().cpus();
      }
    }
    return waiting;
  }

  /** Whether tasks of the range may be on a worker that has not reported in this term. */
  public boolean blocked(TaskRange range) {
    return workers.mayHoldTasksOf(range);
  }

  /** Writes the records of the ranges. */
  public RangeProgressWriter progress() {
    return progress;
  }

  /** What becomes of tasks that ended or were lost. */
  public TaskOutcomes outcomes() {
    return outcomes;
  }

  // ---- records

  /** The term begins: follows all ranges that the state cache knows. */
  public void inherit() {
    for (Map.Entry<String, ActiveJob> job :
        List.copyOf(context.stateCache().jobsById().entrySet())) {
      for (int index : List.copyOf(job.getValue().ranges().keySet())) {
        sync(new StateKey.RangeKey(job.getKey(), index));
      }
    }
  }

  /** Follows the record of a range; true where it is or was this shard's. */
  public boolean sync(StateKey.RangeKey key) {
    Versioned<RangeRecord> kept = context.stateCache().range(key);
    TaskRange range = ranges.get(key);
    // A range given to a later epoch of this shard is not for this term, which may not know yet
    // that it is over: both would start its tasks.
    if (!policy.belongsToTerm(kept)) {
      if (range != null) {
        release(range);
      }
      return range != null;
    }
    if (range == null) {
      range = add(key, kept);
      refreshJob(range);
      events.rangeAdded(range);
      return true;
    }
    range.followRecord(kept.record(), kept.version());
    refreshJob(range);
    return true;
  }

  private TaskRange add(StateKey.RangeKey key, Versioned<RangeRecord> kept) {
    ActiveJob job = context.stateCache().job(key.job());
    long ageMs =
        job == null
            ? 0
            : Math.max(0, context.reactor().wallClockMs() - job.job().record().acceptedWallMs());
    boolean inherited = kept.record().epoch() < term.epoch();
    TaskRange range =
        new TaskRange(key, kept.record(), kept.version(), inherited, context.now() - ageMs);
    if (context.cancellations().wasHeard(key.job())) {
      range.stopState().markCancelled();
    }
    ranges.put(key, range);
    byJob.computeIfAbsent(key.job(), j -> new ArrayList<>()).add(range);
    return range;
  }

  /**
   * Follows the record of a job, which may name ranges without records of their own; true where
   * some range of it is or was this shard's.
   */
  public boolean syncJob(String job) {
    boolean any = false;
    for (int index : List.copyOf(context.stateCache().rangesOf(job).keySet())) {
      any |= sync(new StateKey.RangeKey(job, index));
    }
    for (TaskRange range : List.copyOf(ofJob(job))) {
      any |= sync(range.key());
    }
    return any;
  }

  private void release(TaskRange range) {
    ranges.remove(range.key());
    List<TaskRange> same = byJob.get(range.key().job());
    same.remove(range);
    if (same.isEmpty()) {
      byJob.remove(range.key().job());
    }
    for (TaskAttempt attempt : range.placed().values()) {
      attempt.detachRange();
      commands.stop(attempt, 0);
    }
    range.release();
  }

  /** Looks at the jobs of all ranges again: what has ended is stopped and removed. */
  public void refreshAll() {
    for (TaskRange range : List.copyOf(ranges.values())) {
      refreshJob(range);
    }
  }

  private void refreshJob(TaskRange range) {
    ActiveJob job = context.stateCache().job(range.key().job());
    if (job != null) {
      range.followJob(job.job().record().spec(), job.job().record().zone());
    } else if (policy.hasEnded(range)) {
      if (!range.stopState().isEnded()) {
        range.stopState().markEnded();
        LOG.atInfo().addKeyValue("range", range.key()).log("job has ended, removing its range");
      }
      stopAll(range);
      range.finishedTasks().clearAllHeld();
      events.sendCommands();
      progress.removeIfEnded(range);
    }
  }

  // ---- tasks that must not run

  /**
   * Another controller has told a user that a job is cancelled. That is final, so that what runs is
   * stopped, though the key-value store may not have shown it yet.
   */
  public void jobCancelled(String job) {
    for (TaskRange range : ofJob(job)) {
      range.stopState().markCancelled();
      stopAll(range);
    }
    events.sendCommands();
  }

  private void stopAll(TaskRange range) {
    range.stopState().markStopping(context.now());
    for (TaskAttempt attempt : List.copyOf(range.placed().values())) {
      commands.stop(attempt, 0);
    }
  }

  /** Logs once for each range why tasks that should have been stopped are still there. */
  public void logPendingStops(long nowMs) {
    long afterMs = context.heartbeatIntervalsMs(LOG_PENDING_STOP_AFTER_INTERVALS);
    for (TaskRange range : ranges.values()) {
      RangeStopState stopState = range.stopState();
      if (!stopState.isStopping()
          || stopState.arePendingStopsLogged()
          || range.placed().isEmpty()
          || nowMs - stopState.stoppingSinceMs() < afterMs) {
        continue;
      }
      stopState.markPendingStopsLogged();
      TaskAttempt attempt = range.placed().values().iterator().next();
      LOG.atWarn()
          .addKeyValue("range", range.key())
          .addKeyValue("tasks", range.placed().size())
          .addKeyValue("sinceMs", nowMs - stopState.stoppingSinceMs())
          .addKeyValue("example", attempt)
          .addKeyValue("because", commands.stopPendingReason(attempt))
          .log("cancelled tasks are not stopped yet");
    }
  }
}
