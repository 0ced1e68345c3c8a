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
 * Reassigns waiting tasks to a shard that has room for them or less waiting work per CPU. Only
 * tasks that cannot be on any worker are reassigned: the tail of a range, which becomes a range of
 * its own. Lost tasks are reassigned too, as they would otherwise wait here forever if the cloud
 * has no more machines.
 */
public final class RangeReassignment {
  private static final Logger LOG = LoggerFactory.getLogger(RangeReassignment.class);

  /** Minimum time between two reassignments, in heartbeat intervals. */
  private static final double MIN_INTERVAL_HEARTBEATS = 0.2;

  /**
   * If neither shard has room, tasks are reassigned when the waiting work per CPU of this shard
   * exceeds that of the other shard times this factor by more than {@link
   * #MIN_WAITING_PER_CPU_DIFFERENCE}.
   */
  private static final double MIN_WAITING_PER_CPU_RATIO = 1.5;

  private static final double MIN_WAITING_PER_CPU_DIFFERENCE = 0.25;

  /**
   * Operations of the transaction that ends a job, apart from those for its present ranges. The
   * range that is split off takes one of them.
   */
  private static final int OTHER_JOB_END_OPERATIONS = 4;

  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final TaskRanges ranges;
  private final ControllerContext context;
  private boolean writing;
  private long notBeforeMs;

  /** Creates the reassignment of tasks of a shard. */
  public RangeReassignment(
      ControllerContext context, LeadershipTerm term, WorkerRegistry workers, TaskRanges ranges) {
    this.context = context;
    this.term = term;
    this.workers = workers;
    this.ranges = ranges;
  }

  /** Reassigns tasks of at most one range. Only one write is in flight at a time. */
  public void tick(long nowMs) {
    if (writing || nowMs < notBeforeMs || context.store().isCongested()) {
      return;
    }
    double waitingCpus = -1;
    double capacityCpus = 0;
    for (TaskRange range : ranges.all()) {
      int tail = movableTail(range);
      if (tail == 0) {
        continue;
      }
      if (waitingCpus < 0) { // computed only once, and only if any task can be reassigned
        waitingCpus = ranges.waitingCpus();
        capacityCpus = workers.capacityCpus();
      }
      if (reassign(range, tail, waitingCpus, capacityCpus)) {
        notBeforeMs = nowMs + context.heartbeatIntervalsMs(MIN_INTERVAL_HEARTBEATS);
        return;
      }
    }
  }

  /**
   * Returns how many tasks at the end of a range can be reassigned because they cannot be on any
   * worker. A task that has failed stays on this shard, as only this shard knows of its failures.
   */
  private int movableTail(TaskRange range) {
    if (range.spec() == null
        || term.policy().mustStop(range)
        || range.isWriting()
        || ranges.mayHaveUnreportedTasks(range)
        || !range.record().zoneLimits().isEmpty()
        || context.stateCache().rangesOf(range.key().job()).size() + OTHER_JOB_END_OPERATIONS
            > context.settings().storeLimits().maxTransactionChanges()) {
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
    double cpus = range.spec().countedCpus();
    if (target.freeTasks() > 0 && target.waitingCpus() < cpus) {
      return target.freeTasks();
    }
    double waitingPerCpu = waitingCpus / Math.max(1, capacityCpus);
    if (waitingPerCpu
        > MIN_WAITING_PER_CPU_RATIO * target.waitingPerCpu() + MIN_WAITING_PER_CPU_DIFFERENCE) {
      // After these tasks are moved, both shards have the same waiting work per CPU.
      double balancedWaitingPerCpu =
          (waitingCpus + target.waitingCpus()) / Math.max(1, capacityCpus + target.capacityCpus());
      return (int) ((waitingCpus - balancedWaitingPerCpu * capacityCpus) / cpus);
    }
    return 0;
  }

  /** Reassigns the last {@code count} tasks of a range to another shard. */
  private void move(TaskRange range, int count, String shard) {
    int firstMoved = range.record().to() - count;
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    List<KeyValueProtocol.Change> changes = new ArrayList<>();
    addMove(range, firstMoved, shard, conditions, changes);
    // From now on another shard may own these tasks, so they must not be started here.
    BitSet moving = new BitSet();
    moving.set(firstMoved - range.record().from(), range.record().size());
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

  /**
   * Adds the conditions and changes that reassign the tasks from {@code firstMoved} on to another
   * shard in its present epoch.
   */
  private void addMove(
      TaskRange range,
      int firstMoved,
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
    if (firstMoved == record.from()) {
      changes.add(StateChanges.put(rangeKey, record.withOwner(shard, epoch)));
      return;
    }
    RangeRecord kept = record.slice(record.from(), firstMoved);
    RangeRecord moved = record.slice(firstMoved, record.to()).withOwner(shard, epoch);
    String newKey = StateKeys.range(nextRangeKey(range.key().job()));
    conditions.add(new KeyValueProtocol.Condition(newKey, 0));
    changes.add(StateChanges.put(rangeKey, kept));
    changes.add(StateChanges.put(newKey, moved));
  }

  /** Returns the key of the next range that is added to a job. */
  private StateKey.RangeKey nextRangeKey(String job) {
    int last = 0;
    for (int index : context.stateCache().rangesOf(job).keySet()) {
      last = Math.max(last, index);
    }
    return new StateKey.RangeKey(job, last + 1);
  }
}
