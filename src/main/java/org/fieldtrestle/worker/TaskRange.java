package org.fieldtrestle.worker;

import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.BitSet;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.state.Records;

/**
 * A task range of this shard: which of its tasks wait, are on workers, or have finished. Tasks are
 * named by their offset, which counts from the range's first.
 */
public final class TaskRange {
  /** Stands for the time since when room is withheld where none is. */
  public static final long NOT_WITHHELD = -1;

  /** The offset of a task where there is none. */
  public static final int NO_TASK = -1;

  private static final long NO_STEP = -1;

  private final Records.RangeKey key;
  private Records.Range record;
  private long version;

  /** Null where the job has ended (or its record cannot be read). */
  private JobSpec spec;

  /** The only zone, where the job's record names one; else null. */
  private String zone;

  private boolean released;
  private final RangeStopState stopState = new RangeStopState();

  /** Was there before this term began, so that its tasks may be on workers not heard of yet. */
  private final boolean inherited;

  private final long waitingSinceMs;

  private final FinishedTasks finished = new FinishedTasks();
  private final Int2ObjectMap<TaskAttempt> placed = new Int2ObjectOpenHashMap<>();

  private final WaitingTasks waiting;
  private final WriteSchedule writes = new WriteSchedule();
  private long withheldSinceMs = NOT_WITHHELD;
  private long noRoomInStep = NO_STEP;

  TaskRange(
      Records.RangeKey key,
      Records.Range record,
      long version,
      boolean inherited,
      long waitingSinceMs) {
    this.key = key;
    this.record = record;
    this.version = version;
    this.inherited = inherited;
    this.waitingSinceMs = waitingSinceMs;
    this.waiting = new WaitingTasks(record.size(), record.done());
  }

  // ---- the records of the range and its job

  /** The range's record has changed. */
  void followRecord(Records.Range next, long nextVersion) {
    record = next;
    version = nextVersion;
    waiting.follow(record.size(), record.done());
    finished.followDone(record.done());
  }

  /** The job's record is known. */
  void followJob(JobSpec jobSpec, String jobZone) {
    spec = jobSpec;
    zone = jobZone;
  }

  /** The range is no longer this shard's. */
  void release() {
    released = true;
    finished.detachAllHeld();
  }

  // ---- its tasks

  /** The task is on a worker, or on its way there. */
  public void place(int offset, TaskAttempt attempt) {
    waiting.remove(offset);
    placed.put(offset, attempt);
    withheldSinceMs = NOT_WITHHELD;
  }

  /** The task is on no worker now and waits again. */
  Retry retry(int offset, long retryWaitingSinceMs) {
    placed.remove(offset);
    Retry retry = new Retry(retryWaitingSinceMs);
    withheldSinceMs = NOT_WITHHELD;
    if (!isDone(offset) && !finished.offsets().get(offset)) {
      waiting.addRetry(offset, retry);
    }
    return retry;
  }

  /** The task has finished. */
  void finish(int offset) {
    withheldSinceMs = NOT_WITHHELD;
    placed.remove(offset);
    waiting.remove(offset);
    if (!isDone(offset)) {
      finished.add(offset);
    }
  }

  /** Counts a failure of the task; returns how often it has failed. */
  int countFailure(int offset) {
    return waiting.countFailure(offset);
  }

  /** These waiting tasks may be another shard's at any time now and must not be started. */
  public void reserveForReassignment(BitSet tasks) {
    waiting.removeAll(tasks);
  }

  /** Those of these tasks that are still in the range wait here again. */
  void returnFromReassignment(BitSet tasks) {
    WaitingTasks.clearFrom(record.size(), tasks);
    tasks.andNot(record.done());
    waiting.addFresh(tasks);
  }

  /** No machine had room for its tasks in this placement step. */
  public void markNoRoomIn(long step) {
    noRoomInStep = step;
  }

  /** There is room for its tasks since this time that is reserved, and none has moved. */
  public void markWithheldSince(long nowMs) {
    withheldSinceMs = nowMs;
  }

  /** No room is withheld from its tasks. */
  public void markNotWithheld() {
    withheldSinceMs = NOT_WITHHELD;
  }

  // ---- writes of its record

  /** A write of the range's record is under way; no other may begin. */
  public void beginWrite() {
    writes.begin();
  }

  /** Whether a write of the range's record is under way. */
  public boolean isWriting() {
    return writes.isInProgress();
  }

  WriteSchedule writes() {
    return writes;
  }

  /** The record with what has finished since it was written. */
  Records.Range recordWithFinished() {
    BitSet done = (BitSet) record.done().clone();
    done.or(finished.offsets());
    return record.withDone(done);
  }

  boolean isFinished() {
    return record.done().cardinality() + finished.offsets().cardinality() >= record.size();
  }

  // ---- queries

  boolean contains(int taskIndex) {
    return taskIndex >= record.from() && taskIndex < record.to();
  }

  boolean isDone(int offset) {
    return record.done().get(offset);
  }

  /** Whether all tasks that wait for another attempt may be started now. */
  public boolean mayRetryAll(long nowMs) {
    return waiting.mayRetryAll(nowMs);
  }

  /** Whether a task waits and cannot be anywhere; not so one that has failed here. */
  public boolean isNowhere(int offset) {
    return waiting.hasUnfailed(offset);
  }

  /** The offset of some task that waits, or {@link #NO_TASK}. */
  public int firstWaiting() {
    return waiting.first();
  }

  /** How many of its tasks wait. */
  public int waiting() {
    return waiting.count();
  }

  /** Whether another of its tasks may be placed in a zone. */
  public boolean zoneAllows(String name) {
    if (zone != null && !zone.equals(name)) {
      return false;
    }
    if (spec != null && spec.zone() != null && !spec.zone().equals(name)) {
      return false;
    }
    if (record.caps().isEmpty()) {
      return spec == null || !spec.spread();
    }
    return countInZone(name) < record.caps().getOrDefault(name, 0);
  }

  private int countInZone(String name) {
    int count = 0;
    for (TaskAttempt attempt : placed.values()) {
      if (attempt.worker().zone().equals(name)) {
        count++;
      }
    }
    return count;
  }

  /** Whether the range is no longer this shard's. */
  boolean isReleased() {
    return released;
  }

  RangeStopState stopState() {
    return stopState;
  }

  FinishedTasks finishedTasks() {
    return finished;
  }

  /** Tasks that finished but whose completion is not durable yet. */
  public BitSet finished() {
    return finished.offsets();
  }

  /** Tasks that wait and have not been on a worker in this term. */
  public BitSet fresh() {
    return waiting.fresh();
  }

  /** Whether the range was there before this term, so that its tasks may be on any worker. */
  public boolean isInherited() {
    return inherited;
  }

  /** The job and the range's number in it. */
  public Records.RangeKey key() {
    return key;
  }

  /** The placement step in which no machine had room for its tasks; below 0 where there is none. */
  public long noRoomIn() {
    return noRoomInStep;
  }

  /** The attempts of tasks that are on workers, by their offsets. */
  public Int2ObjectMap<TaskAttempt> placed() {
    return placed;
  }

  /** The range's record. */
  public Records.Range record() {
    return record;
  }

  /** The tasks that wait again after having been on a worker, by their offsets. */
  public Int2ObjectMap<Retry> retries() {
    return waiting.retries();
  }

  /** What the user submitted; null where the job has ended or its record cannot be read. */
  public JobSpec spec() {
    return spec;
  }

  /** The version of the range's record; 0 where it has none of its own. */
  public long version() {
    return version;
  }

  /** Since when the range waits, in ms. */
  public long waitingSince() {
    return waitingSinceMs;
  }

  /** Since when reserved room is withheld from its tasks, in ms, or {@link #NOT_WITHHELD}. */
  public long withheldSince() {
    return withheldSinceMs;
  }

  /** The only zone, where the job's record names one; else null. */
  public String zone() {
    return zone;
  }
}
