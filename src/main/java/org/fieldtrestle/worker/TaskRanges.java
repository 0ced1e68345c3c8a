package org.fieldtrestle.worker;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.ExitCause;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.protocol.TaskId;
import org.fieldtrestle.state.ActiveJob;
import org.fieldtrestle.state.RangeRecord;
import org.fieldtrestle.state.RecordCodec;
import org.fieldtrestle.state.StateChanges;
import org.fieldtrestle.state.StateKey;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.state.Versioned;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A shard's ranges and what becomes of their tasks; everything durable about them is done here. */
public final class TaskRanges {
  private static final Logger LOG = LoggerFactory.getLogger(TaskRanges.class);

  /** Reports that go by before a task that should have been stopped is worth a line in the log. */
  private static final double UNSTOPPED_AFTER_REPORTS = 3;

  /** Half of what a transaction may hold. */
  private static final int MOST_BYTES = 32 * 1024;

  private final LeadershipTerm term;
  private final ShardEvents events;
  private final FailureTracker failures;
  private final ControllerContext context;
  private final CommandPolicy policy;
  private final TreeMap<StateKey.RangeKey, TaskRange> ranges = new TreeMap<>();
  private final Map<String, List<TaskRange>> byJob = new HashMap<>();

  public TaskRanges(
      ControllerContext context, LeadershipTerm term, FailureTracker failures, ShardEvents events) {
    this.context = context;
    this.term = term;
    this.failures = failures;
    this.events = events;
    this.policy = term.policy();
  }

  public Iterable<TaskRange> all() {
    return ranges.values();
  }

  public int count() {
    return ranges.size();
  }

  public List<TaskRange> ofJob(String job) {
    return byJob.getOrDefault(job, List.of());
  }

  private boolean has(TaskRange range) {
    return ranges.get(range.key) == range;
  }

  /** The range that a task is in; null where it is none of ours. */
  TaskRange of(TaskId task) {
    for (TaskRange range : ofJob(task.job())) {
      if (range.has(task.index())) {
        return range;
      }
    }
    return null;
  }

  public double waitingCpus() {
    double waiting = 0;
    for (TaskRange range : ranges.values()) {
      if (!policy.mustStop(range)) {
        waiting += range.waiting() * range.record.cpus();
      }
    }
    return waiting;
  }

  // ---- records

  /** Follows the record of a range; true where it is or was ours. */
  public boolean sync(StateKey.RangeKey key) {
    Versioned<RangeRecord> kept = context.stateCache().range(key);
    TaskRange range = ranges.get(key);
    // One given to a later epoch of this shard is not ours, though we may not know yet that we
    // are over: both would start its tasks.
    if (!policy.isOurs(kept)) {
      if (range != null) {
        drop(range);
      }
      return range != null;
    }
    if (range == null) {
      ActiveJob job = context.stateCache().job(key.job());
      long age =
          job == null
              ? 0
              : Math.max(0, context.reactor().wall() - job.job().record().acceptedWallMs());
      range =
          new TaskRange(
              key,
              kept.record(),
              kept.version(),
              kept.record().epoch() < term.epoch(),
              context.now() - age);
      range.cancelled = context.cancellations().wasHeard(key.job());
      ranges.put(key, range);
      byJob.computeIfAbsent(key.job(), j -> new ArrayList<>()).add(range);
      refreshJob(range);
      events.rangeAdded(range);
      return true;
    }
    range.record = kept.record();
    range.version = kept.version();
    range.fresh.clear(range.record.size(), Math.max(range.record.size(), range.fresh.length()));
    range.finished.andNot(range.record.done());
    range.fresh.andNot(range.record.done());
    for (TaskAttempt task : List.copyOf(range.exited)) {
      if (range.isDone(task.offset())) {
        task.clearable = true;
        range.exited.remove(task);
      }
    }
    refreshJob(range);
    return true;
  }

  /** Follows the record of a job, which may name ranges without records of their own. */
  public boolean syncJob(String job) {
    boolean ours = false;
    for (int index : List.copyOf(context.stateCache().rangesOf(job).keySet())) {
      ours |= sync(new StateKey.RangeKey(job, index));
    }
    for (TaskRange range : List.copyOf(ofJob(job))) {
      ours |= sync(range.key);
    }
    return ours;
  }

  private void drop(TaskRange range) {
    ranges.remove(range.key);
    List<TaskRange> same = byJob.get(range.key.job());
    same.remove(range);
    if (same.isEmpty()) {
      byJob.remove(range.key.job());
    }
    for (TaskAttempt task : range.placed.values()) {
      task.range = null;
      events.stop(task, 0);
    }
    for (TaskAttempt task : range.exited) {
      task.range = null;
      task.clearable = true;
    }
  }

  void refreshJob(TaskRange range) {
    ActiveJob job = context.stateCache().job(range.key.job());
    if (job != null) {
      range.spec = job.job().record().spec();
      range.zone = job.job().record().zone();
      return;
    }
    if (policy.hasEnded(range)) {
      if (!range.ended) {
        range.ended = true;
        LOG.info("job {} has ended, winding up range {}", range.key.job(), range.key);
      }
      stopAll(range);
      for (TaskAttempt task : range.exited) {
        task.clearable = true;
      }
      range.exited.clear();
      events.sendCommands();
      windUp(range);
    }
  }

  /**
   * Another controller has told a user that a job is cancelled. That is final, so that what runs is
   * stopped, though the state service may not have shown it yet.
   */
  public void cancelled(String job) {
    for (TaskRange range : ofJob(job)) {
      range.cancelled = true;
      stopAll(range);
    }
    events.sendCommands();
  }

  private void stopAll(TaskRange range) {
    if (range.stoppingSince < 0) {
      range.stoppingSince = context.now();
    }
    for (TaskAttempt task : List.copyOf(range.placed.values())) {
      events.stop(task, 0);
    }
  }

  /** Logs once for each range why tasks that should have been stopped are still there. */
  public void logUnstopped(long now) {
    for (TaskRange range : ranges.values()) {
      if (range.stoppingSince < 0
          || range.unstoppedLogged
          || range.placed.isEmpty()
          || now - range.stoppingSince < context.heartbeatIntervalsMs(UNSTOPPED_AFTER_REPORTS)) {
        continue;
      }
      range.unstoppedLogged = true;
      TaskAttempt task = range.placed.values().iterator().next();
      LOG.atWarn()
          .addKeyValue("range", range.key)
          .addKeyValue("tasks", range.placed.size())
          .addKeyValue("sinceMs", now - range.stoppingSince)
          .addKeyValue("example", task)
          .addKeyValue("because", events.stopPendingReason(task))
          .log("cancelled tasks are not stopped yet");
    }
  }

  public void refreshAll() {
    for (TaskRange range : List.copyOf(ranges.values())) {
      refreshJob(range);
    }
  }

  /** Removes the range of an ended job once nothing of it can be anywhere. */
  private void windUp(TaskRange range) {
    if (!range.ended || !range.placed.isEmpty() || range.writing || blocked(range)) {
      return;
    }
    range.writing = true;
    term.write(
        List.of(new KeyValueProtocol.Condition(StateKeys.range(range.key), range.version)),
        List.of(new KeyValueProtocol.Delete(StateKeys.range(range.key))),
        committed -> {
          range.writing = false;
        });
  }

  /** A machine that may hold tasks of it has not been heard of in this epoch. */
  public boolean blocked(TaskRange range) {
    return range.inherited && events.hasUnreconciledWorkers();
  }

  // ---- tasks

  /** A task has ended by itself, or by a stop. */
  void exited(TaskAttempt task) {
    TaskRange range = task.range;
    long now = context.now();
    LOG.debug("task {} exited: {}", task, task.cause);
    if (range == null) {
      task.clearable = true;
      return;
    }
    int offset = task.offset();
    if (task.cause == ExitCause.DONE) {
      range.finish(offset);
      failures.succeeded(task, now);
      if (range.ended || range.isDone(offset)) {
        task.clearable = true;
      } else {
        range.exited.add(task);
        writeSoon(range);
      }
      return;
    }
    task.clearable = true;
    if (range.placed.get(offset) != task) {
      return;
    }
    TaskRange.Retry retry = range.again(offset, task.waitingSince());
    switch (task.cause) {
      case ERROR -> {
        // Waiting starts anew: a task that fails everywhere must not age into evicting others.
        retry.waitingSince = now;
        failures.failed(task, retry, range.failures.addTo(offset, 1) + 1, now);
      }
      case NO_ROOM, BUSY, UNKNOWN -> {
        retry.notBefore = now + context.heartbeatIntervalsMs(0.5);
        task.worker.quarantineUntil = now + context.heartbeatIntervalsMs(0.5);
      }
      default -> {}
    }
    windUp(range);
  }

  /** The machine does not have this task any more, nor can it get it by anything we sent. */
  void gone(TaskAttempt task) {
    task.worker.remove(task);
    TaskRange range = task.range;
    if (range == null) {
      return;
    }
    range.exited.remove(task);
    int offset = task.offset();
    if (range.placed.get(offset) == task) {
      range.again(offset, task.waitingSince());
      windUp(range);
    }
  }

  // ---- writes

  /** That a range is still as we know it; one without a record of its own is as its job's is. */
  List<KeyValueProtocol.Condition> unchanged(TaskRange range) {
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    conditions.add(new KeyValueProtocol.Condition(StateKeys.range(range.key), range.version));
    if (range.version == 0) {
      String job = StateKeys.job(range.key.job());
      conditions.add(new KeyValueProtocol.Condition(job, context.stateCache().version(job)));
    }
    return conditions;
  }

  /**
   * After handing tasks on has failed or its fate is unknown: they may still be taken by the late
   * transaction, until a write of our own has moved the range's version past it.
   */
  public void settle(TaskRange range, BitSet held) {
    if (term.isOver() || !has(range)) {
      return;
    }
    term.write(
        unchanged(range),
        List.of(StateChanges.put(StateKeys.range(range.key), range.record)),
        committed -> {
          if (!committed) {
            settle(range, held);
            return;
          }
          held.clear(range.record.size(), Math.max(range.record.size(), held.length()));
          held.andNot(range.record.done());
          range.fresh.or(held);
          written(range);
          events.requestPlacementPass();
        });
  }

  /** A write of the range is over; what has finished meanwhile goes into the next. */
  public void written(TaskRange range) {
    range.writing = false;
    if (!range.finished.isEmpty() && has(range)) {
      writeSoon(range);
    }
  }

  private void writeSoon(TaskRange range) {
    if (range.writing) {
      return;
    }
    if (range.record.done().cardinality() + range.finished.cardinality() < range.record.size()) {
      // Until all are done, what is done is safe on its machines; it is written now and then only
      // so that reports stay short and little is done again where a machine is lost.
      if (range.writeAt < 0) {
        range.writeAt = context.now() + context.settings().workerLeaseMs();
      }
      return;
    }
    range.writing = true;
    // A short wait lets tasks that end together share a write.
    context.reactor().schedule(context.stateCache().watchIntervalMs() / 3, () -> writeDone(range));
  }

  private static RangeRecord withFinished(TaskRange range) {
    BitSet done = (BitSet) range.record.done().clone();
    done.or(range.finished);
    return range.record.withDone(done);
  }

  private void writeDone(TaskRange range) {
    if (term.isOver() || range.finished.isEmpty() || !has(range)) {
      range.writing = false;
      return;
    }
    RangeRecord next = withFinished(range);
    List<KeyValueProtocol.Condition> conditions = unchanged(range);
    List<KeyValueProtocol.Change> changes = new ArrayList<>();
    if (!JobCompletion.add(context, range.key, next, conditions, changes)) {
      changes.add(StateChanges.put(StateKeys.range(range.key), next));
    }
    range.writeAt = -1;
    term.write(
        conditions,
        changes,
        committed -> {
          written(range);
          events.sendCommands();
        });
  }

  /** Writes what is done of ranges that are not through, many at once. */
  public void writePartial(long now) {
    if (context.store().isCongested()) {
      return;
    }
    List<TaskRange> batch = new ArrayList<>();
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    List<KeyValueProtocol.Change> changes = new ArrayList<>();
    int bytes = 0;
    for (TaskRange range : ranges.values()) {
      if (range.writeAt < 0 || range.writing || range.writeAt > now || range.ended) {
        continue;
      }
      RangeRecord next = withFinished(range);
      JsonNode value = RecordCodec.encode(next);
      bytes += value.toString().length() + 200;
      if (batch.size() >= context.settings().state().txnOps() / 2 || bytes > MOST_BYTES) {
        break;
      }
      conditions.addAll(unchanged(range));
      changes.add(new KeyValueProtocol.Put(StateKeys.range(range.key), value, 0));
      range.writing = true;
      range.writeAt = -1;
      batch.add(range);
    }
    if (!batch.isEmpty()) {
      term.write(conditions, changes, committed -> batch.forEach(this::written));
    }
  }
}
