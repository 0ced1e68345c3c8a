package org.fieldtrestle.worker;

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.BitSet;

/** The waiting tasks of a range, by their offsets in the range. */
final class UnplacedTasks {
  /** Waiting tasks that have not been on a worker in this term. */
  private final BitSet fresh = new BitSet();

  private final Int2ObjectMap<Retry> retries = new Int2ObjectOpenHashMap<>();

  /** How often tasks have failed. The counts are kept when the tasks are placed again. */
  private final Int2IntOpenHashMap failures = new Int2IntOpenHashMap();

  /**
   * Creates a set in which the tasks with offsets below {@code size} that are not done are fresh.
   */
  UnplacedTasks(int size, BitSet done) {
    fresh.set(0, size);
    fresh.andNot(done);
  }

  /** Applies a new size of the range and the tasks of it that are done. */
  void followRecord(int size, BitSet done) {
    clearFrom(size, fresh);
    fresh.andNot(done);
  }

  static void clearFrom(int size, BitSet tasks) {
    tasks.clear(size, Math.max(size, tasks.length()));
  }

  void remove(int offset) {
    fresh.clear(offset);
    retries.remove(offset);
  }

  void addRetry(int offset, Retry retry) {
    retries.put(offset, retry);
  }

  /** Adds tasks that wait again as if they had never been on a worker. */
  void addFresh(BitSet tasks) {
    fresh.or(tasks);
  }

  void removeAll(BitSet tasks) {
    fresh.andNot(tasks);
    tasks.stream().forEach(retries::remove);
  }

  /** Counts a failure of the task; returns how often the task has failed. */
  int countFailure(int offset) {
    return failures.addTo(offset, 1) + 1;
  }

  boolean mayRetryAll(long nowMs) {
    for (Retry retry : retries.values()) {
      if (retry.notBeforeMs() > nowMs) {
        return false;
      }
    }
    return true;
  }

  /** Whether the task is waiting and has never failed. */
  boolean isWaitingWithoutFailure(int offset) {
    return fresh.get(offset) || (retries.containsKey(offset) && !failures.containsKey(offset));
  }

  /** Returns the offset of a waiting task, or {@link TaskRange#NO_TASK}. */
  int firstOffset() {
    if (!fresh.isEmpty()) {
      return fresh.nextSetBit(0);
    }
    return retries.isEmpty() ? TaskRange.NO_TASK : retries.keySet().iterator().nextInt();
  }

  int count() {
    return fresh.cardinality() + retries.size();
  }

  BitSet fresh() {
    return fresh;
  }

  Int2ObjectMap<Retry> retries() {
    return retries;
  }
}
