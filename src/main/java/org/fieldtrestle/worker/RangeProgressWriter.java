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
 * Writes the records of a shard's ranges: progress, completion and removal. A range has one write
 * under way at the most.
 */
public final class RangeProgressWriter {
  /** Half of what a transaction may hold. */
  private static final int MAX_BATCH_BYTES = 32 * 1024;

  /** Bytes of a change beside its value, generously. */
  private static final int CHANGE_OVERHEAD_BYTES = 200;

  /** Part of a watch interval for which a completion waits for others to share its write. */
  private static final int COMPLETION_DELAY_DIVISOR = 3;

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final ShardEvents events;

  /** Writes under the guard of this term. */
  public RangeProgressWriter(
      ControllerContext context, LeadershipTerm term, WorkerRegistry workers, ShardEvents events) {
    this.context = context;
    this.term = term;
    this.workers = workers;
    this.events = events;
  }

  /** That a range is unchanged; one without a record of its own is as its job's record names it. */
  private List<KeyValueProtocol.Condition> unchanged(TaskRange range) {
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    conditions.add(new KeyValueProtocol.Condition(StateKeys.range(range.key()), range.version()));
    if (range.version() == 0) {
      String job = StateKeys.job(range.key().job());
      conditions.add(new KeyValueProtocol.Condition(job, context.stateCache().version(job)));
    }
    return conditions;
  }

  /** Removes the range of an ended job once nothing of it can be anywhere. */
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
   * Ends a reassignment that has failed or whose outcome is unknown. Its tasks may still be taken
   * by the late transaction, until a write of this controller has moved the range's version past
   * it; after that they wait here again.
   */
  public void settleReassignment(TaskRange range, BitSet tasks) {
    if (term.isOver() || range.isReleased()) {
      return;
    }
    String key = StateKeys.range(range.key());
    term.write(
        unchanged(range),
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

  /** A write of the range is over; what has finished meanwhile goes into the next. */
  public void endWrite(TaskRange range) {
    range.writes().end();
    if (!range.finished().isEmpty() && !range.isReleased()) {
      write(range);
    }
  }

  /** A task of the range has finished, which is to be written. */
  void write(TaskRange range) {
    if (range.isWriting()) {
      return;
    }
    if (!range.isFinished()) {
      // Until all are done, what is done is safe on its workers; it is written now and then only
      // so that heartbeats stay short and little is done again where a worker is lost.
      range.writes().scheduleAt(context.nowMs() + context.settings().workerLeaseMs());
      return;
    }
    range.beginWrite();
    // A short wait lets tasks that end together share a write.
    context
        .reactor()
        .schedule(
            context.stateCache().watchIntervalMs() / COMPLETION_DELAY_DIVISOR,
            () -> writeCompletion(range));
  }

  private void writeCompletion(TaskRange range) {
    if (term.isOver() || range.finished().isEmpty() || range.isReleased()) {
      range.writes().end();
      return;
    }
    RangeRecord next = range.recordWithFinished();
    List<KeyValueProtocol.Condition> conditions = unchanged(range);
    List<KeyValueProtocol.Change> changes = new ArrayList<>();
    Optional<Transaction> jobEnd = JobCompletion.byLastRange(context, range.key(), next);
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

  /** Writes the progress of ranges for which that is due, many in one transaction. */
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
      conditions.addAll(unchanged(range));
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
