package org.fieldtrestle.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fieldtrestle.bookkeeping.Records;
import org.fieldtrestle.bookkeeping.View;
import org.fieldtrestle.protocol.StateWire;
import org.fieldtrestle.protocol.TaskId;
import org.fieldtrestle.protocol.WorkerWire;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A master's ranges and what becomes of their tasks; everything durable about them is done here.
 */
final class Ranges {
  private static final Logger LOG = LoggerFactory.getLogger(Ranges.class);

  /** Reports that go by before a task that should have been stopped is worth a line in the log. */
  private static final double UNSTOPPED_AFTER_REPORTS = 3;

  /** Half of what a transaction may hold. */
  private static final int MOST_BYTES = 32 * 1024;

  private final Master master;
  private final Node node;
  private final CommandPolicy policy;
  private final TreeMap<Records.RangeKey, OwnedRange> ranges = new TreeMap<>();
  private final Map<String, List<OwnedRange>> byJob = new HashMap<>();

  Ranges(Master master) {
    this.master = master;
    this.node = master.node;
    this.policy = master.policy();
  }

  Iterable<OwnedRange> all() {
    return ranges.values();
  }

  int count() {
    return ranges.size();
  }

  List<OwnedRange> ofJob(String job) {
    return byJob.getOrDefault(job, List.of());
  }

  private boolean has(OwnedRange range) {
    return ranges.get(range.key) == range;
  }

  /** The range that a task is in; null where it is none of ours. */
  OwnedRange of(TaskId task) {
    for (OwnedRange range : ofJob(task.job())) {
      if (range.has(task.index())) {
        return range;
      }
    }
    return null;
  }

  double waitingCpus() {
    double waiting = 0;
    for (OwnedRange range : ranges.values()) {
      if (!policy.mustStop(range)) {
        waiting += range.waiting() * range.record.cpus();
      }
    }
    return waiting;
  }

  // ---- records

  /** Follows the record of a range; true where it is or was ours. */
  boolean sync(Records.RangeKey key) {
    View.Kept<Records.Range> kept = node.view().range(key);
    OwnedRange range = ranges.get(key);
    // One given to a later epoch of this master is not ours, though we may not know yet that we
    // are over: both would start its tasks.
    if (!policy.isOurs(kept)) {
      if (range != null) {
        drop(range);
      }
      return range != null;
    }
    if (range == null) {
      View.LiveJob job = node.view().job(key.job());
      long age =
          job == null ? 0 : Math.max(0, node.reactor().wall() - job.job().record().acceptedWall());
      range =
          new OwnedRange(
              key,
              kept.record(),
              kept.version(),
              kept.record().epoch() < master.epoch,
              node.now() - age);
      range.cancelled = node.cancellations().wasHeard(key.job());
      ranges.put(key, range);
      byJob.computeIfAbsent(key.job(), j -> new ArrayList<>()).add(range);
      refreshJob(range);
      master.arrived(range);
      return true;
    }
    range.record = kept.record();
    range.version = kept.version();
    range.fresh.clear(range.record.size(), Math.max(range.record.size(), range.fresh.length()));
    range.finished.andNot(range.record.done());
    range.fresh.andNot(range.record.done());
    for (PlacedTask task : List.copyOf(range.exited)) {
      if (range.isDone(task.offset())) {
        task.clearable = true;
        range.exited.remove(task);
      }
    }
    refreshJob(range);
    return true;
  }

  /** Follows the record of a job, which may name ranges without records of their own. */
  boolean syncJob(String job) {
    boolean ours = false;
    for (int index : List.copyOf(node.view().rangesOf(job).keySet())) {
      ours |= sync(new Records.RangeKey(job, index));
    }
    for (OwnedRange range : List.copyOf(ofJob(job))) {
      ours |= sync(range.key);
    }
    return ours;
  }

  private void drop(OwnedRange range) {
    ranges.remove(range.key);
    List<OwnedRange> same = byJob.get(range.key.job());
    same.remove(range);
    if (same.isEmpty()) {
      byJob.remove(range.key.job());
    }
    for (PlacedTask task : range.placed.values()) {
      task.range = null;
      master.stop(task, 0);
    }
    for (PlacedTask task : range.exited) {
      task.range = null;
      task.clearable = true;
    }
  }

  void refreshJob(OwnedRange range) {
    View.LiveJob job = node.view().job(range.key.job());
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
      for (PlacedTask task : range.exited) {
        task.clearable = true;
      }
      range.exited.clear();
      master.sendDirect();
      windUp(range);
    }
  }

  /**
   * Another controller has told a user that a job is cancelled. That is final, so that what runs is
   * stopped, though the state service may not have shown it yet.
   */
  void cancelled(String job) {
    for (OwnedRange range : ofJob(job)) {
      range.cancelled = true;
      stopAll(range);
    }
    master.sendDirect();
  }

  private void stopAll(OwnedRange range) {
    if (range.stoppingSince < 0) {
      range.stoppingSince = node.now();
    }
    for (PlacedTask task : List.copyOf(range.placed.values())) {
      master.stop(task, 0);
    }
  }

  /** Logs once for each range why tasks that should have been stopped are still there. */
  void logUnstopped(long now) {
    for (OwnedRange range : ranges.values()) {
      if (range.stoppingSince < 0
          || range.unstoppedLogged
          || range.placed.isEmpty()
          || now - range.stoppingSince < node.reportMs(UNSTOPPED_AFTER_REPORTS)) {
        continue;
      }
      range.unstoppedLogged = true;
      PlacedTask task = range.placed.values().iterator().next();
      LOG.atWarn()
          .addKeyValue("range", range.key)
          .addKeyValue("tasks", range.placed.size())
          .addKeyValue("sinceMs", now - range.stoppingSince)
          .addKeyValue("example", task)
          .addKeyValue("because", master.machines().commands().stopPendingBecause(task))
          .log("cancelled tasks are not stopped yet");
    }
  }

  void refreshAll() {
    for (OwnedRange range : List.copyOf(ranges.values())) {
      refreshJob(range);
    }
  }

  /** Removes the range of an ended job once nothing of it can be anywhere. */
  private void windUp(OwnedRange range) {
    if (!range.ended || !range.placed.isEmpty() || range.writing || blocked(range)) {
      return;
    }
    range.writing = true;
    master.write(
        List.of(new StateWire.Condition(Records.range(range.key), range.version)),
        List.of(new StateWire.Delete(Records.range(range.key))),
        committed -> {
          range.writing = false;
        });
  }

  /** A machine that may hold tasks of it has not been heard of in this epoch. */
  boolean blocked(OwnedRange range) {
    return range.inherited && master.anyUnresolved();
  }

  // ---- tasks

  /** A task has ended by itself, or by a stop. */
  void exited(PlacedTask task) {
    OwnedRange range = task.range;
    long now = node.now();
    LOG.debug("task {} exited: {}", task, task.cause);
    if (range == null) {
      task.clearable = true;
      return;
    }
    int offset = task.offset();
    if (task.cause == WorkerWire.Cause.DONE) {
      range.finish(offset);
      master.failures().succeeded(task, now);
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
    OwnedRange.Retry retry = range.again(offset, task.waitingSince());
    switch (task.cause) {
      case ERROR -> {
        // Waiting starts anew: a task that fails everywhere must not age into evicting others.
        retry.waitingSince = now;
        master.failures().failed(task, retry, range.failures.addTo(offset, 1) + 1, now);
      }
      case NO_ROOM, BUSY, UNKNOWN -> {
        retry.notBefore = now + node.reportMs(0.5);
        task.host.quarantineUntil = now + node.reportMs(0.5);
      }
      default -> {}
    }
    windUp(range);
  }

  /** The machine does not have this task any more, nor can it get it by anything we sent. */
  void gone(PlacedTask task) {
    task.host.remove(task);
    OwnedRange range = task.range;
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
  List<StateWire.Condition> unchanged(OwnedRange range) {
    List<StateWire.Condition> conditions = new ArrayList<>();
    conditions.add(new StateWire.Condition(Records.range(range.key), range.version));
    if (range.version == 0) {
      String job = Records.job(range.key.job());
      conditions.add(new StateWire.Condition(job, node.view().version(job)));
    }
    return conditions;
  }

  /**
   * After handing tasks on has failed or its fate is unknown: they may still be taken by the late
   * transaction, until a write of our own has moved the range's version past it.
   */
  void settle(OwnedRange range, BitSet held) {
    if (master.isOver() || !has(range)) {
      return;
    }
    master.write(
        unchanged(range),
        List.of(new StateWire.Put(Records.range(range.key), Records.write(range.record), 0)),
        committed -> {
          if (!committed) {
            settle(range, held);
            return;
          }
          held.clear(range.record.size(), Math.max(range.record.size(), held.length()));
          held.andNot(range.record.done());
          range.fresh.or(held);
          written(range);
          master.passSoon();
        });
  }

  /** A write of the range is over; what has finished meanwhile goes into the next. */
  void written(OwnedRange range) {
    range.writing = false;
    if (!range.finished.isEmpty() && has(range)) {
      writeSoon(range);
    }
  }

  private void writeSoon(OwnedRange range) {
    if (range.writing) {
      return;
    }
    if (range.record.done().cardinality() + range.finished.cardinality() < range.record.size()) {
      // Until all are done, what is done is safe on its machines; it is written now and then only
      // so that reports stay short and little is done again where a machine is lost.
      if (range.writeAt < 0) {
        range.writeAt = node.now() + node.settings().workerLeaseMs();
      }
      return;
    }
    range.writing = true;
    // A short wait lets tasks that end together share a write.
    node.reactor().schedule(node.view().watchGapMs() / 3, () -> writeDone(range));
  }

  private static Records.Range withFinished(OwnedRange range) {
    BitSet done = (BitSet) range.record.done().clone();
    done.or(range.finished);
    return range.record.withDone(done);
  }

  private void writeDone(OwnedRange range) {
    if (master.isOver() || range.finished.isEmpty() || !has(range)) {
      range.writing = false;
      return;
    }
    Records.Range next = withFinished(range);
    List<StateWire.Condition> conditions = unchanged(range);
    List<StateWire.Change> changes = new ArrayList<>();
    if (!JobCompletion.add(node, range.key, next, conditions, changes)) {
      changes.add(new StateWire.Put(Records.range(range.key), Records.write(next), 0));
    }
    range.writeAt = -1;
    master.write(
        conditions,
        changes,
        committed -> {
          written(range);
          master.sendDirect();
        });
  }

  /** Writes what is done of ranges that are not through, many at once. */
  void writePartial(long now) {
    if (node.store().crowded()) {
      return;
    }
    List<OwnedRange> batch = new ArrayList<>();
    List<StateWire.Condition> conditions = new ArrayList<>();
    List<StateWire.Change> changes = new ArrayList<>();
    int bytes = 0;
    for (OwnedRange range : ranges.values()) {
      if (range.writeAt < 0 || range.writing || range.writeAt > now || range.ended) {
        continue;
      }
      Records.Range next = withFinished(range);
      JsonNode value = Records.write(next);
      bytes += value.toString().length() + 200;
      if (batch.size() >= node.settings().state().txnOps() / 2 || bytes > MOST_BYTES) {
        break;
      }
      conditions.addAll(unchanged(range));
      changes.add(new StateWire.Put(Records.range(range.key), value, 0));
      range.writing = true;
      range.writeAt = -1;
      batch.add(range);
    }
    if (!batch.isEmpty()) {
      master.write(conditions, changes, committed -> batch.forEach(this::written));
    }
  }
}
