package org.fieldtrestle.worker;

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.BitSet;
import java.util.HashSet;
import java.util.Set;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.state.RangeRecord;
import org.fieldtrestle.state.StateKey;

/** A range in this shard's hands: which of its tasks wait, are on machines, or have finished. */
public final class TaskRange {
  /** A task that waits again after having been on a machine. */
  public static final class Retry {
    public long waitingSince;
    public long notBefore;
  }

  final StateKey.RangeKey key;
  RangeRecord record;
  long version;

  /** Null where the job has ended (or its record is not to be read). */
  JobSpec spec;

  /** The only zone, where the job or its record names one. */
  String zone;

  /** True once the job is known to have ended while this range still has to be wound up. */
  boolean ended;

  /** Another controller has said that the job is cancelled. */
  boolean cancelled;

  /** Since when its tasks have to be stopped; below 0 while they may run. */
  long stoppingSince = -1;

  /** It was logged why tasks of it are still to be stopped. */
  boolean unstoppedLogged;

  /** Was there before this epoch began, so that its tasks may be on machines not heard of yet. */
  final boolean inherited;

  final long waitingSince;

  /**
   * Tasks that finished but whose done is not durable yet. Numbers count from the range's first.
   */
  final BitSet finished = new BitSet();

  final Int2ObjectMap<TaskAttempt> placed = new Int2ObjectOpenHashMap<>();

  /** Tasks that have exited as done and wait on their machines until that is durable. */
  final Set<TaskAttempt> exited = new HashSet<>();

  public static final long NOT_WITHHELD = -1;

  /** Since when there is room for its tasks that is reserved for others, and none has moved. */
  long withheldSince = NOT_WITHHELD;

  /** The placement step in which no machine had room for its tasks. */
  long noRoomIn = -1;

  final Int2ObjectMap<Retry> retries = new Int2ObjectOpenHashMap<>();

  /** How often tasks have failed; outlives their being placed again. */
  final Int2IntOpenHashMap failures = new Int2IntOpenHashMap();

  /** Tasks that wait and have not been on a machine in this epoch. */
  final BitSet fresh = new BitSet();

  boolean writing;

  /** When what has finished is to be written though more is to come; below 0 where nothing has. */
  long writeAt = -1;

  TaskRange(
      StateKey.RangeKey key, RangeRecord record, long version, boolean inherited, long since) {
    this.key = key;
    this.record = record;
    this.version = version;
    this.inherited = inherited;
    this.waitingSince = since;
    fresh.set(0, record.size());
    fresh.andNot(record.done());
  }

  boolean has(int taskIndex) {
    return taskIndex >= record.from() && taskIndex < record.to();
  }

  boolean isDone(int offset) {
    return record.done().get(offset);
  }

  public void place(int offset, TaskAttempt task) {
    fresh.clear(offset);
    retries.remove(offset);
    placed.put(offset, task);
    withheldSince = NOT_WITHHELD;
  }

  /** The task is nowhere now and waits again. */
  Retry again(int offset, long waitingSince) {
    placed.remove(offset);
    Retry retry = new Retry();
    retry.waitingSince = waitingSince;
    withheldSince = NOT_WITHHELD;
    if (!isDone(offset) && !finished.get(offset)) {
      retries.put(offset, retry);
    }
    return retry;
  }

  void finish(int offset) {
    withheldSince = NOT_WITHHELD;
    placed.remove(offset);
    fresh.clear(offset);
    retries.remove(offset);
    if (!isDone(offset)) {
      finished.set(offset);
    }
  }

  public boolean mayRetryAll(long now) {
    for (Retry retry : retries.values()) {
      if (retry.notBefore > now) {
        return false;
      }
    }
    return true;
  }

  /** Whether a task waits and cannot be anywhere; not so one that has failed here. */
  public boolean isNowhere(int offset) {
    return fresh.get(offset) || retries.containsKey(offset) && !failures.containsKey(offset);
  }

  /** The offset of some task that waits; below 0 where none does. */
  public int firstWaiting() {
    if (!fresh.isEmpty()) {
      return fresh.nextSetBit(0);
    }
    return retries.isEmpty() ? -1 : retries.keySet().iterator().nextInt();
  }

  public int waiting() {
    return fresh.cardinality() + retries.size();
  }

  /** How many of its tasks are on machines of a zone. */
  int inZone(String name) {
    int count = 0;
    for (TaskAttempt task : placed.values()) {
      if (task.worker.zone.equals(name)) {
        count++;
      }
    }
    return count;
  }

  public boolean zoneAllows(String name) {
    if (zone != null && !zone.equals(name)) {
      return false;
    }
    if (spec != null && spec.zone() != null && !spec.zone().equals(name)) {
      return false;
    }
    if (record.zoneLimits().isEmpty()) {
      return spec == null || !spec.spread();
    }
    return inZone(name) < record.zoneLimits().getOrDefault(name, 0);
  }

  /** A write of the range's record is under way; no other may begin. */
  public void beginWrite() {
    writing = true;
  }

  /** No machine had room for its tasks in this placement step. */
  public void markNoRoomIn(long step) {
    noRoomIn = step;
  }

  /** Reserved room is withheld from its tasks since this time. */
  public void markWithheldSince(long now) {
    withheldSince = now;
  }

  /** No room is withheld from its tasks. */
  public void markNotWithheld() {
    withheldSince = NOT_WITHHELD;
  }

  public BitSet finished() {
    return finished;
  }

  public BitSet fresh() {
    return fresh;
  }

  public boolean isInherited() {
    return inherited;
  }

  public StateKey.RangeKey key() {
    return key;
  }

  public long noRoomIn() {
    return noRoomIn;
  }

  public Int2ObjectMap<TaskAttempt> placed() {
    return placed;
  }

  public RangeRecord record() {
    return record;
  }

  public Int2ObjectMap<Retry> retries() {
    return retries;
  }

  public JobSpec spec() {
    return spec;
  }

  public long version() {
    return version;
  }

  public long waitingSince() {
    return waitingSince;
  }

  public long withheldSince() {
    return withheldSince;
  }

  public boolean isWriting() {
    return writing;
  }

  public String zone() {
    return zone;
  }
}
