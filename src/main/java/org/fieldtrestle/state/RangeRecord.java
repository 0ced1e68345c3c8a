package org.fieldtrestle.state;

import java.util.BitSet;
import java.util.Map;

/**
 * Consecutive tasks of a job that one shard owns.
 *
 * @param shard the owner
 * @param epoch the owner's epoch at which it got the range: a later epoch knows that tasks may have
 *     been started before, an earlier one, which may not know yet that it has ended, must leave
 *     them alone
 * @param from the first task, counted in the job's tasks
 * @param to the task after the last one
 * @param done the tasks that are done, counted from {@code from}
 * @param zoneLimits how many tasks may be in a zone at a time, by zone; empty where any number may
 * @param team the job's team; kept here too, as are the amounts, because tasks of a cancelled job
 *     count against the quota until they are gone
 * @param cpus CPUs of one task
 * @param gpus GPUs of one task
 */
public record RangeRecord(
    String shard,
    long epoch,
    int from,
    int to,
    BitSet done,
    Map<String, Integer> zoneLimits,
    String team,
    double cpus,
    double gpus) {

  /** How many tasks it has. */
  public int size() {
    return to - from;
  }

  /** Whether all its tasks are done. */
  public boolean isComplete() {
    return done.cardinality() == size();
  }

  /** The same range with other tasks done. */
  public RangeRecord withDone(BitSet tasks) {
    return new RangeRecord(shard, epoch, from, to, tasks, zoneLimits, team, cpus, gpus);
  }

  /**
   * A part of it, of the same owner.
   *
   * @param first the first task, counted in the job's tasks
   * @param end the task after the last one
   */
  public RangeRecord slice(int first, int end) {
    BitSet doneThere = done.get(first - from, end - from);
    return new RangeRecord(shard, epoch, first, end, doneThere, zoneLimits, team, cpus, gpus);
  }

  /** The same range in the hands of a shard as of an epoch of it. */
  public RangeRecord withOwner(String newShard, long newEpoch) {
    return new RangeRecord(newShard, newEpoch, from, to, done, zoneLimits, team, cpus, gpus);
  }
}
