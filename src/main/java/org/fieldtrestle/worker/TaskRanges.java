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

/** The task ranges of a shard, as the state cache shows them. Stops the tasks that must not run. */
public final class TaskRanges {
  private static final Logger LOG = LoggerFactory.getLogger(TaskRanges.class);

  /** Heartbeat intervals after which a task that should have stopped and has not is logged. */
  private static final double LOG_PENDING_STOP_AFTER_INTERVALS = 3;

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final CommandPolicy policy;
  private final WorkerRegistry workers;
  private final WorkerCommands commands;
  private final RangeProgressWriter progressWriter;
  private final TaskOutcomes outcomes;
  private final ShardEvents events;
  private final TreeMap<StateKey.RangeKey, TaskRange> ranges = new TreeMap<>();
  private final Map<String, List<TaskRange>> byJob = new HashMap<>();

  /** Creates a collection without ranges; {@link #sync} adds them. */
  public TaskRanges(
      ControllerContext context,
      LeadershipTerm term,
      WorkerRegistry workers,
      WorkerCommands commands,
      RangeProgressWriter progressWriter,
      TaskOutcomes outcomes,
      ShardEvents events) {
    this.context = context;
    this.term = term;
    this.policy = term.policy();
    this.workers = workers;
    this.commands = commands;
    this.progressWriter = progressWriter;
    this.outcomes = outcomes;
    this.events = events;
  }

  /** Returns all ranges in the order of their keys. */
  public Iterable<TaskRange> all() {
    return ranges.values();
  }

  /** Returns the number of ranges. */
  public int count() {
    return ranges.size();
  }

  /** Returns the ranges of a job that belong to this shard. */
  public List<TaskRange> ofJob(String job) {
    return byJob.getOrDefault(job, List.of());
  }

  /** Returns the range of a task, or {@code null} if it does not belong to this shard. */
  TaskRange containing(TaskId task) {
    for (TaskRange range : ofJob(task.job())) {
      if (range.contains(task.index())) {
        return range;
      }
    }
    return null;
  }

  /** Returns the CPUs that the waiting tasks need. */
  public double waitingCpus() {
    double waiting = 0;
    for (TaskRange range : ranges.values()) {
      if (!policy.mustStop(range)) {
        waiting += range.waitingCount() * range.record().cpus();
      }
    }
    return waiting;
  }

  /** Whether tasks of the range may be on a worker that has not reported in this term. */
  public boolean mayHaveUnreportedTasks(TaskRange range) {
    return workers.mayHoldTasksOf(range);
  }

  /** Returns the writer of the ranges' records. */
  public RangeProgressWriter progressWriter() {
    return progressWriter;
  }

  /** Returns the handler of tasks that have ended or were lost. */
  public TaskOutcomes outcomes() {
    return outcomes;
  }

  // ---- records

  /** Adds all ranges that the state cache knows. Called when the term begins. */
  public void inherit() {
    for (Map.Entry<String, ActiveJob> job :
        List.copyOf(context.stateCache().jobsById().entrySet())) {
      for (int index : List.copyOf(job.getValue().ranges().keySet())) {
        sync(new StateKey.RangeKey(job.getKey(), index));
      }
    }
  }

  /**
   * Applies the current record of a range; returns whether the range belongs or belonged to this
   * shard.
   */
  public boolean sync(StateKey.RangeKey key) {
    Versioned<RangeRecord> stored = context.stateCache().range(key);
    TaskRange range = ranges.get(key);
    // A range that was assigned to a later epoch of this shard does not belong to this term, which
    // may not know yet that it has ended. Otherwise both terms would start the range's tasks.
    if (!policy.belongsToTerm(stored)) {
      if (range != null) {
        release(range);
      }
      return range != null;
    }
    if (range == null) {
      range = add(key, stored);
      refreshJob(range);
      events.rangeAdded(range);
      return true;
    }
    range.followRecord(stored.record(), stored.version());
    refreshJob(range);
    return true;
  }

  private TaskRange add(StateKey.RangeKey key, Versioned<RangeRecord> stored) {
    ActiveJob job = context.stateCache().job(key.job());
    long ageMs =
        job == null
            ? 0
            : Math.max(0, context.reactor().wallClockMs() - job.job().record().acceptedWallMs());
    boolean inherited = stored.record().epoch() < term.epoch();
    TaskRange range =
        new TaskRange(key, stored.record(), stored.version(), inherited, context.nowMs() - ageMs);
    if (context.cancellations().hasNotice(key.job())) {
      range.stopState().markCancelled();
    }
    ranges.put(key, range);
    byJob.computeIfAbsent(key.job(), j -> new ArrayList<>()).add(range);
    return range;
  }

  /**
   * Applies the current record of a job, which may name ranges that have no record of their own;
   * returns whether a range of the job belongs or belonged to this shard.
   */
  public boolean syncJob(String job) {
    boolean anyOwned = false;
    for (int index : List.copyOf(context.stateCache().rangesOf(job).keySet())) {
      anyOwned |= sync(new StateKey.RangeKey(job, index));
    }
    for (TaskRange range : List.copyOf(ofJob(job))) {
      anyOwned |= sync(range.key());
    }
    return anyOwned;
  }

  private void release(TaskRange range) {
    ranges.remove(range.key());
    List<TaskRange> rangesOfJob = byJob.get(range.key().job());
    rangesOfJob.remove(range);
    if (rangesOfJob.isEmpty()) {
      byJob.remove(range.key().job());
    }
    for (TaskAttempt attempt : range.placed().values()) {
      attempt.detachRange();
      commands.stop(attempt, 0);
    }
    range.release();
  }

  /** Checks the jobs of all ranges again. Stops and removes the ranges of jobs that have ended. */
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
      progressWriter.removeIfEnded(range);
    }
  }

  // ---- tasks that must not run

  /**
   * Called when another controller has confirmed to a user that a job is cancelled. The
   * confirmation is final, so that running tasks are stopped even if the key-value store has not
   * shown the cancellation yet.
   */
  public void jobCancelled(String job) {
    for (TaskRange range : ofJob(job)) {
      range.stopState().markCancelled();
      stopAll(range);
    }
    events.sendCommands();
  }

  private void stopAll(TaskRange range) {
    range.stopState().markStopping(context.nowMs());
    for (TaskAttempt attempt : List.copyOf(range.placed().values())) {
      commands.stop(attempt, 0);
    }
  }

  /** Logs, once for each range, why tasks that should have been stopped have not ended. */
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
