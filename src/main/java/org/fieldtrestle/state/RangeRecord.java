package org.fieldtrestle.state;

import java.util.BitSet;
import java.util.Map;

/**
 * Consecutive tasks of a job that one shard owns.
 *
 * @param shard the shard that owns the range
 * @param epoch the owner's epoch in which it got the range. A leader in a later epoch knows that
 *     tasks of the range may have been started before its term. A leader in an earlier epoch may
 *     not know yet that its term has ended, and must leave the tasks alone
 * @param from number of the first task within the job
 * @param to number of the task after the last one
 * @param done the tasks that are done, numbered from {@code from}
 * @param zoneLimits how many tasks may run in a zone at a time, by zone; empty if there is no limit
 * @param team the job's team. The team and the amounts below are also stored here because tasks of
 *     a cancelled job count against the quota until they are gone
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

  /** Returns how many tasks the range has. */
  public int size() {
    return to - from;
  }

  /** Returns whether all tasks of the range are done. */
  public boolean isComplete() {
    return done.cardinality() == size();
  }

  /** Returns a copy of this range with the given tasks done. */
  public RangeRecord withDone(BitSet tasks) {
    return new RangeRecord(shard, epoch, from, to, tasks, zoneLimits, team, cpus, gpus);
  }

  /**
   * Returns a part of this range, with the same owner.
   *
   * @param first number of the first task within the job
   * @param end number of the task after the last one
   */
  public RangeRecord slice(int first, int end) {
    BitSet doneThere = done.get(first - from, end - from);
    return new RangeRecord(shard, epoch, first, end, doneThere, zoneLimits, team, cpus, gpus);
  }

  /** Returns a copy of this range that a shard owns since the given epoch of that shard. */
  public RangeRecord withOwner(String newShard, long newEpoch) {
    return new RangeRecord(newShard, newEpoch, from, to, done, zoneLimits, team, cpus, gpus);
  }
}
