package org.fieldtrestle.worker;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.state.RangeRecord;
import org.fieldtrestle.state.StateChanges;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.state.Transaction;

/**
 * Writes the records of a shard's ranges: progress, completion and removal. At most one write of
 * each range is in progress at a time.
 */
public final class RangeProgressWriter {
  /** Half of the size limit of a transaction. */
  private static final int MAX_BATCH_BYTES = 32 * 1024;

  /** Generous estimate of the bytes of a change in addition to its value. */
  private static final int CHANGE_OVERHEAD_BYTES = 200;

  /**
   * A completion waits for the watch interval divided by this, so that others can share its write.
   */
  private static final int COMPLETION_DELAY_DIVISOR = 3;

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final ShardEvents events;

  /** Creates a writer whose writes are under the guard of this term. */
  public RangeProgressWriter(
      ControllerContext context, LeadershipTerm term, WorkerRegistry workers, ShardEvents events) {
    this.context = context;
    this.term = term;
    this.workers = workers;
    this.events = events;
  }

  /**
   * Returns conditions that are met only if a range is unchanged. A range without a record of its
   * own is defined by the record of its job.
   */
  private List<KeyValueProtocol.Condition> unchangedConditions(TaskRange range) {
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    conditions.add(new KeyValueProtocol.Condition(StateKeys.range(range.key()), range.version()));
    if (range.version() == 0) {
      String job = StateKeys.job(range.key().job());
      conditions.add(new KeyValueProtocol.Condition(job, context.stateCache().version(job)));
    }
    return conditions;
  }

  /** Removes the range of a job that has ended, once none of its tasks can be on a worker. */
  void removeIfEnded(TaskRange range) {
    if (!range.stopState().isEnded()
        || !range.placed().isEmpty()
        || range.isWriting()
        || workers.mayHoldTasksOf(range)) {
      return;
    }
    range.beginWrite();
    term.write(
        List.of(new KeyValueProtocol.Condition(StateKeys.range(range.key()), range.version())),
        List.of(new KeyValueProtocol.Delete(StateKeys.range(range.key()))),
        committed -> range.writes().end());
  }

  /**
   * Ends a reassignment that has failed or whose outcome is unknown. The late transaction may still
   * take the tasks until a write by this controller has moved the range's version past it. After
   * that write, the tasks wait here again.
   */
  public void settleReassignment(TaskRange range, BitSet tasks) {
    if (term.isOver() || range.isReleased()) {
      return;
    }
    String key = StateKeys.range(range.key());
    term.write(
        unchangedConditions(range),
        List.of(StateChanges.put(key, range.record())),
        committed -> {
          if (!committed) {
            settleReassignment(range, tasks);
            return;
          }
          range.returnFromReassignment(tasks);
          endWrite(range);
          events.requestPlacementPass();
        });
  }

  /**
   * Called when a write of the range has ended. Tasks that finished in the meantime are written
   * next.
   */
  public void endWrite(TaskRange range) {
    range.writes().end();
    if (!range.finishedOffsets().isEmpty() && !range.isReleased()) {
      requestWrite(range);
    }
  }

  /** Requests a write of the tasks of the range that have finished since its last write. */
  void requestWrite(TaskRange range) {
    if (range.isWriting()) {
      return;
    }
    if (!range.hasOnlyFinishedTasks()) {
      // Until all tasks are done, the completed ones are safe on their workers. Their completion is
      // written from time to time only to keep heartbeats short and to limit the work that is
      // repeated if a worker is lost.
      range.writes().scheduleAt(context.nowMs() + context.settings().workerLeaseMs());
      return;
    }
    range.beginWrite();
    // A short delay lets tasks that end together share a write.
    context
        .reactor()
        .schedule(
            context.stateCache().watchIntervalMs() / COMPLETION_DELAY_DIVISOR,
            () -> writeCompletion(range));
  }

  private void writeCompletion(TaskRange range) {
    if (term.isOver() || range.finishedOffsets().isEmpty() || range.isReleased()) {
      range.writes().end();
      return;
    }
    RangeRecord next = range.recordWithFinished();
    List<KeyValueProtocol.Condition> conditions = unchangedConditions(range);
    List<KeyValueProtocol.Change> changes = new ArrayList<>();
    Optional<Transaction> jobEnd = JobCompletion.ifLastRange(context, range.key(), next);
    if (jobEnd.isPresent()) {
      conditions.addAll(jobEnd.get().conditions());
      changes.addAll(jobEnd.get().changes());
    } else {
      changes.add(StateChanges.put(StateKeys.range(range.key()), next));
    }
    range.writes().cancelScheduled();
    term.write(
        conditions,
        changes,
        committed -> {
          endWrite(range);
          events.sendCommands();
        });
  }

  /**
   * Writes the progress of ranges whose write is due, in one transaction of limited size. The
   * ranges that do not fit are written by the next calls. Nothing is written while the key-value
   * store is congested.
   */
  public void writeDue(Iterable<TaskRange> ranges, long nowMs) {
    if (context.store().isCongested()) {
      return;
    }
    List<TaskRange> batch = new ArrayList<>();
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    List<KeyValueProtocol.Change> changes = new ArrayList<>();
    int bytes = 0;
    for (TaskRange range : ranges) {
      if (!range.writes().isDue(nowMs) || range.stopState().isEnded()) {
        continue;
      }
      KeyValueProtocol.Put put =
          StateChanges.put(StateKeys.range(range.key()), range.recordWithFinished());
      bytes += put.value().toString().length() + CHANGE_OVERHEAD_BYTES;
      if (batch.size() >= context.settings().storeLimits().maxTransactionChanges() / 2
          || bytes > MAX_BATCH_BYTES) {
        break;
      }
      conditions.addAll(unchangedConditions(range));
      changes.add(put);
      range.beginWrite();
      range.writes().cancelScheduled();
      batch.add(range);
    }
    if (!batch.isEmpty()) {
      term.write(conditions, changes, committed -> batch.forEach(this::endWrite));
    }
  }
}
