package org.fieldtrestle.coordination;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.fieldtrestle.bookkeeping.Records;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.StateWire;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Hands waiting tasks on to a master that has room, or where less waits for each CPU. Only tasks
 * that are nowhere go, as the tail of a range that becomes a range of its own. Those that were lost
 * go too: where the cloud has no more machines to give, they would wait here for ever.
 */
final class RangeReassignment {
  private static final Logger LOG = LoggerFactory.getLogger(RangeReassignment.class);

  /** How many times more has to wait here than there, where neither has room. */
  private static final double STEEPER = 1.5;

  private final Master master;
  private final Node node;
  private boolean writing;
  private long nextAt;

  RangeReassignment(Master master) {
    this.master = master;
    this.node = master.node;
  }

  void tick(long now) {
    if (writing || now < nextAt || node.store().crowded()) {
      return;
    }
    double waiting = -1;
    double capacity = 0;
    for (OwnedRange range : master.ranges().all()) {
      int tail = tail(range);
      if (tail == 0) {
        continue;
      }
      if (waiting < 0) {
        waiting = master.ranges().waitingCpus();
        capacity = master.machines().capacity();
      }
      if (hand(range, tail, waiting, capacity)) {
        nextAt = now + node.reportMs(0.2);
        return;
      }
    }
  }

  /**
   * How many tasks at the end of the range are nowhere. One that has failed stays: we know of it.
   */
  private int tail(OwnedRange range) {
    if (range.spec == null
        || master.policy().mustStop(range)
        || range.writing
        || master.ranges().blocked(range)
        || !range.record.caps().isEmpty()
        || node.view().rangesOf(range.key.job()).size() + 4 > node.settings().state().txnOps()) {
      return 0;
    }
    int size = range.record.size();
    int tail = 0;
    while (tail < size
        && range.isNowhere(size - 1 - tail)
        && !master.machines().hasDuplicate(range, size - 1 - tail)) {
      tail++;
    }
    return range.spec.kind() == JobSpec.Kind.GANG && tail < size ? 0 : tail;
  }

  private boolean hand(OwnedRange range, int tail, double waiting, double capacity) {
    String zone = range.zone != null ? range.zone : range.spec.zone();
    JobSplit.Candidate to = node.loads().leastLoaded(range.spec, zone, master.name);
    if (to == null || node.view().master(to.master()) == null) {
      return false;
    }
    double cpus = Math.max(range.spec.cpus(), 0.1);
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
    if (count <= 0 || range.spec.kind() == JobSpec.Kind.GANG && count < tail) {
      return false;
    }
    move(range, count, to.master());
    return true;
  }

  private void move(OwnedRange range, int count, String to) {
    Records.Range whole = range.record;
    int cut = whole.to() - count;
    Records.RangeKey fresh =
        new Records.RangeKey(
            range.key.job(),
            node.view().rangesOf(range.key.job()).keySet().stream().mapToInt(i -> i).max().orElse(0)
                + 1);
    String job = Records.job(range.key.job());
    List<StateWire.Condition> conditions = new ArrayList<>();
    List<StateWire.Change> changes = new ArrayList<>();
    conditions.add(new StateWire.Condition(Records.range(range.key), range.version));
    conditions.add(new StateWire.Condition(job, node.view().version(job)));
    long epoch = node.view().master(to).version();
    conditions.add(new StateWire.Condition(Records.master(to), epoch));
    if (cut == whole.from()) {
      changes.add(
          new StateWire.Put(Records.range(range.key), Records.write(whole.ownedBy(to, epoch)), 0));
    } else {
      conditions.add(new StateWire.Condition(Records.range(fresh), 0));
      changes.add(
          new StateWire.Put(
              Records.range(range.key), Records.write(whole.between(whole.from(), cut)), 0));
      changes.add(
          new StateWire.Put(
              Records.range(fresh),
              Records.write(whole.between(cut, whole.to()).ownedBy(to, epoch)),
              0));
    }
    // From here on these tasks may be another master's at any time: they are not to be started.
    BitSet held = new BitSet();
    held.set(cut - whole.from(), whole.size());
    range.fresh.andNot(held);
    held.stream().forEach(range.retries::remove);
    range.writing = true;
    writing = true;
    LOG.debug("handing {} tasks of {} to {}", count, range.key, to);
    master.write(
        conditions,
        changes,
        committed -> {
          writing = false;
          if (committed) {
            master.ranges().written(range);
          } else {
            master.ranges().settle(range, held);
          }
        });
  }
}
