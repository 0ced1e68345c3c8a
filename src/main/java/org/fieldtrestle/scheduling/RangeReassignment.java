package org.fieldtrestle.scheduling;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.routing.JobSplitter;
import org.fieldtrestle.state.Records;
import org.fieldtrestle.worker.LeadershipTerm;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.TaskRanges;
import org.fieldtrestle.worker.WorkerRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Hands waiting tasks on to a shard that has room, or where less waits for each CPU. Only tasks
 * that are nowhere go, as the tail of a range that becomes a range of its own. Those that were lost
 * go too: where the cloud has no more machines to give, they would wait here for ever.
 */
public final class RangeReassignment {
  private static final Logger LOG = LoggerFactory.getLogger(RangeReassignment.class);

  /** How many times more has to wait here than there, where neither has room. */
  private static final double STEEPER = 1.5;

  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final TaskRanges ranges;
  private final ControllerContext context;
  private boolean writing;
  private long nextAt;

  public RangeReassignment(
      ControllerContext context, LeadershipTerm term, WorkerRegistry workers, TaskRanges ranges) {
    this.context = context;
    this.term = term;
    this.workers = workers;
    this.ranges = ranges;
  }

  public void tick(long now) {
    if (writing || now < nextAt || context.store().isCongested()) {
      return;
    }
    double waiting = -1;
    double capacity = 0;
    for (TaskRange range : ranges.all()) {
      int tail = tail(range);
      if (tail == 0) {
        continue;
      }
      if (waiting < 0) {
        waiting = ranges.waitingCpus();
        capacity = workers.capacity();
      }
      if (hand(range, tail, waiting, capacity)) {
        nextAt = now + context.heartbeatIntervalsMs(0.2);
        return;
      }
    }
  }

  /**
   * How many tasks at the end of the range are nowhere. One that has failed stays: we know of it.
   */
  private int tail(TaskRange range) {
    if (range.spec() == null
        || term.policy().mustStop(range)
        || range.isWriting()
        || ranges.blocked(range)
        || !range.record().caps().isEmpty()
        || context.stateCache().rangesOf(range.key().job()).size() + 4
            > context.settings().state().txnOps()) {
      return 0;
    }
    int size = range.record().size();
    int tail = 0;
    while (tail < size
        && range.isNowhere(size - 1 - tail)
        && !workers.hasDuplicate(range, size - 1 - tail)) {
      tail++;
    }
    return range.spec().kind() == JobSpec.Kind.GANG && tail < size ? 0 : tail;
  }

  private boolean hand(TaskRange range, int tail, double waiting, double capacity) {
    String zone = range.zone() != null ? range.zone() : range.spec().zone();
    JobSplitter.Candidate to = context.loads().leastLoaded(range.spec(), zone, term.shard());
    if (to == null || context.stateCache().shard(to.shard()) == null) {
      return false;
    }
    double cpus = Math.max(range.spec().cpus(), 0.1);
    int count = 0;
    if (to.freeTasks() > 0 && to.waitingCpus() < cpus) {
      count = to.freeTasks();
    } else {
      if (waiting / Math.max(1, capacity) > STEEPER * to.pressure() + 0.25) {
        // Level: what moves leaves both with as much for each CPU.
        double level = (waiting + to.waitingCpus()) / Math.max(1, capacity + to.capacityCpus());
        count = (int) ((waiting - level * capacity) / cpus);
      }
    }
    count = Math.min(count, tail);
    if (count <= 0 || range.spec().kind() == JobSpec.Kind.GANG && count < tail) {
      return false;
    }
    move(range, count, to.shard());
    return true;
  }

  private void move(TaskRange range, int count, String to) {
    Records.Range whole = range.record();
    int cut = whole.to() - count;
    Records.RangeKey fresh =
        new Records.RangeKey(
            range.key().job(),
            context.stateCache().rangesOf(range.key().job()).keySet().stream()
                    .mapToInt(i -> i)
                    .max()
                    .orElse(0)
                + 1);
    String job = Records.job(range.key().job());
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    List<KeyValueProtocol.Change> changes = new ArrayList<>();
    conditions.add(new KeyValueProtocol.Condition(Records.range(range.key()), range.version()));
    conditions.add(new KeyValueProtocol.Condition(job, context.stateCache().version(job)));
    long epoch = context.stateCache().shard(to).version();
    conditions.add(new KeyValueProtocol.Condition(Records.shard(to), epoch));
    if (cut == whole.from()) {
      changes.add(
          new KeyValueProtocol.Put(
              Records.range(range.key()), Records.write(whole.ownedBy(to, epoch)), 0));
    } else {
      conditions.add(new KeyValueProtocol.Condition(Records.range(fresh), 0));
      changes.add(
          new KeyValueProtocol.Put(
              Records.range(range.key()), Records.write(whole.between(whole.from(), cut)), 0));
      changes.add(
          new KeyValueProtocol.Put(
              Records.range(fresh),
              Records.write(whole.between(cut, whole.to()).ownedBy(to, epoch)),
              0));
    }
    // From here on these tasks may be another shard's at any time: they are not to be started.
    BitSet held = new BitSet();
    held.set(cut - whole.from(), whole.size());
    range.reserveForReassignment(held);
    range.beginWrite();
    writing = true;
    LOG.debug("handing {} tasks of {} to {}", count, range.key(), to);
    term.write(
        conditions,
        changes,
        committed -> {
          writing = false;
          if (committed) {
            ranges.progress().endWrite(range);
          } else {
            ranges.progress().settleReassignment(range, held);
          }
        });
  }
}
