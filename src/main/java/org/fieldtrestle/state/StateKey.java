package org.fieldtrestle.state;

/** A parsed key of the key-value store, see {@link StateKeys#parse}. */
public sealed interface StateKey {

  /** The record of an accepted job that has not ended. */
  record JobKey(String job) implements StateKey {}

  /** The record of one task range of a job; {@code index} numbers the ranges of that job. */
  record RangeKey(String job, int index) implements StateKey, Comparable<RangeKey> {
    @Override
    public int compareTo(RangeKey other) {
      int byJob = job.compareTo(other.job);
      return byJob != 0 ? byJob : Integer.compare(index, other.index);
    }

    /** Written by hand, because a record's generated method takes several times as long. */
    @Override
    public boolean equals(Object other) {
      return other instanceof RangeKey that && index == that.index && job.equals(that.job);
    }

    @Override
    public int hashCode() {
      return 31 * job.hashCode() + index;
    }

    @Override
    public String toString() {
      return job + "#" + index;
    }
  }

  /** One part of a shard's machine inventory. */
  record InventoryKey(String shard, int part) implements StateKey {}

  /** A machine of some inventory. Not a key of the store; it is passed to listeners of changes. */
  record MachineKey(String machine) implements StateKey {}

  /** The record of an adopted machine, see {@link StateKeys#orphan}. */
  record OrphanKey(String machine) implements StateKey {}

  /** The record that names the leader of a shard. */
  record ShardKey(String shard) implements StateKey {}

  /** The record of a running controller. */
  record MemberKey(String label) implements StateKey {}

  /** The record of a team's quota shares. */
  record QuotaKey(String team) implements StateKey {}

  /** Any other key; its value cannot be used. */
  record UnknownKey(String key) implements StateKey {}
}
