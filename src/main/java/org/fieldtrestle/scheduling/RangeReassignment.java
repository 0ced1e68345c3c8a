package org.fieldtrestle.scheduling;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.routing.JobSplitter;
import org.fieldtrestle.state.RangeRecord;
import org.fieldtrestle.state.StateChanges;
import org.fieldtrestle.state.StateKey;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.worker.LeadershipTerm;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.TaskRanges;
import org.fieldtrestle.worker.WorkerRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reassigns waiting tasks to a shard that has room, or where less waits for each CPU. Only tasks
 * that no worker may have are reassigned, as the tail of a range that becomes a range of its own.
 * Tasks that were lost are among them: where the cloud has no more machines, they would otherwise
 * wait here for ever.
 */
public final class RangeReassignment {
  private static final Logger LOG = LoggerFactory.getLogger(RangeReassignment.class);

  /** Time between two reassignments, in heartbeat intervals. */
  private static final double PAUSE_HEARTBEATS = 0.2;

  /**
   * Where neither shard has room, tasks move if the waiting work per CPU here exceeds that of the
   * other shard by this factor and {@link #MIN_PRESSURE_DIFFERENCE}.
   */
  private static final double MIN_PRESSURE_RATIO = 1.5;

  private static final double MIN_PRESSURE_DIFFERENCE = 0.25;

  /** Least CPUs by which a task is counted, as tasks may ask for none. */
  private static final double MIN_CPUS = 0.1;

  /**
   * Operations of the transaction that ends a job, beside those of its present ranges: the range
   * that is split off is one of them.
   */
  private static final int OTHER_OPERATIONS = 4;

  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final TaskRanges ranges;
  private final ControllerContext context;
  private boolean writing;
  private long nextAtMs;

  /** Sets up reassignment for a shard. */
  public RangeReassignment(
      ControllerContext context, LeadershipTerm term, WorkerRegistry workers, TaskRanges ranges) {
    this.context = context;
    this.term = term;
    this.workers = workers;
    this.ranges = ranges;
  }

  /** Reassigns tasks of one range at most; only one write is in flight at a time. */
  public void tick(long nowMs) {
    if (writing || nowMs < nextAtMs || context.store().isCongested()) {
      return;
    }
    double waitingCpus = -1;
    double capacityCpus = 0;
    for (TaskRange range : ranges.all()) {
      int tail = movableTail(range);
      if (tail == 0) {
        continue;
      }
      if (waitingCpus < 0) { // summed once, and only if something can move
        waitingCpus = ranges.waitingCpus();
        capacityCpus = workers.capacityCpus();
      }
      if (reassign(range, tail, waitingCpus, capacityCpus)) {
        nextAtMs = nowMs + context.heartbeatIntervalsMs(PAUSE_HEARTBEATS);
        return;
      }
    }
  }

  /**
   * How many tasks at the end of the range no worker may have. A task that has failed stays, as the
   * failures are only known here.
   */
  private int movableTail(TaskRange range) {
    if (range.spec() == null
        || term.policy().mustStop(range)
        || range.isWriting()
        || ranges.mayHaveUnreportedTasks(range)
        || !range.record().zoneLimits().isEmpty()
        || context.stateCache().rangesOf(range.key().job()).size() + OTHER_OPERATIONS
            > context.settings().state().txnOps()) {
      return 0;
    }
    int size = range.record().size();
    int tail = 0;
    while (tail < size
        && range.isWaitingWithoutFailure(size - 1 - tail)
        && !workers.hasDuplicate(range, size - 1 - tail)) {
      tail++;
    }
    return isGang(range) && tail < size ? 0 : tail;
  }

  private static boolean isGang(TaskRange range) {
    return range.spec().kind() == JobSpec.Kind.GANG;
  }

  private boolean reassign(TaskRange range, int tail, double waitingCpus, double capacityCpus) {
    String zone = range.zone() != null ? range.zone() : range.spec().zone();
    Optional<JobSplitter.Candidate> leastLoaded =
        context.loads().leastLoaded(range.spec(), zone, term.shard());
    if (leastLoaded.isEmpty()) {
      return false;
    }
    JobSplitter.Candidate target = leastLoaded.get();
    if (context.stateCache().shard(target.shard()) == null) {
      return false;
    }
    int count = Math.min(tail, tasksToMove(range, target, waitingCpus, capacityCpus));
    if (count <= 0 || (isGang(range) && count < tail)) {
      return false;
    }
    move(range, count, target.shard());
    return true;
  }

  private static int tasksToMove(
      TaskRange range, JobSplitter.Candidate target, double waitingCpus, double capacityCpus) {
    double cpus = Math.max(range.spec().cpus(), MIN_CPUS);
    if (target.freeTasks() > 0 && target.waitingCpus() < cpus) {
      return target.freeTasks();
    }
    double pressure = waitingCpus / Math.max(1, capacityCpus);
    if (pressure > MIN_PRESSURE_RATIO * target.pressure() + MIN_PRESSURE_DIFFERENCE) {
      // What moves leaves both shards with the same waiting work per CPU.
      double balancedPressure =
          (waitingCpus + target.waitingCpus()) / Math.max(1, capacityCpus + target.capacityCpus());
      return (int) ((waitingCpus - balancedPressure * capacityCpus) / cpus);
    }
    return 0;
  }

  /** Gives the last {@code count} tasks of a range to another shard. */
  private void move(TaskRange range, int count, String shard) {
    int cut = range.record().to() - count;
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    List<KeyValueProtocol.Change> changes = new ArrayList<>();
    addMove(range, cut, shard, conditions, changes);
    // From here on another shard may own these tasks at any time: they must not be started.
    BitSet moving = new BitSet();
    moving.set(cut - range.record().from(), range.record().size());
    range.reserveForReassignment(moving);
    range.beginWrite();
    writing = true;
    LOG.debug("reassigning {} tasks of {} to {}", count, range.key(), shard);
    term.write(
        conditions,
        changes,
        committed -> {
          writing = false;
          if (committed) {
            ranges.progressWriter().endWrite(range);
          } else {
            ranges.progressWriter().settleReassignment(range, moving);
          }
        });
  }

  /** Adds what gives the tasks from {@code cut} on to another shard in its present epoch. */
  private void addMove(
      TaskRange range,
      int cut,
      String shard,
      List<KeyValueProtocol.Condition> conditions,
      List<KeyValueProtocol.Change> changes) {
    RangeRecord record = range.record();
    String rangeKey = StateKeys.range(range.key());
    String jobKey = StateKeys.job(range.key().job());
    long epoch = context.stateCache().shard(shard).version();
    conditions.add(new KeyValueProtocol.Condition(rangeKey, range.version()));
    conditions.add(new KeyValueProtocol.Condition(jobKey, context.stateCache().version(jobKey)));
    conditions.add(new KeyValueProtocol.Condition(StateKeys.shard(shard), epoch));
    if (cut == record.from()) {
      changes.add(StateChanges.put(rangeKey, record.ownedBy(shard, epoch)));
      return;
    }
    RangeRecord kept = record.slice(record.from(), cut);
    RangeRecord moved = record.slice(cut, record.to()).ownedBy(shard, epoch);
    String newKey = StateKeys.range(nextKey(range.key().job()));
    conditions.add(new KeyValueProtocol.Condition(newKey, 0));
    changes.add(StateChanges.put(rangeKey, kept));
    changes.add(StateChanges.put(newKey, moved));
  }

  /** The key of a further range of a job. */
  private StateKey.RangeKey nextKey(String job) {
    int last = 0;
    for (int index : context.stateCache().rangesOf(job).keySet()) {
      last = Math.max(last, index);
    }
    return new StateKey.RangeKey(job, last + 1);
  }
}
