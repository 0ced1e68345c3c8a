package org.fieldtrestle.worker;

import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.BitSet;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.state.RangeRecord;
import org.fieldtrestle.state.StateKey;

/**
 * A task range of this shard: which of its tasks are waiting, which are on workers, and which have
 * finished. A task is identified by its offset from the first task of the range.
 */
public final class TaskRange {
  /** Value of {@link #withheldSinceMs} if no resources are withheld from the range. */
  public static final long NOT_WITHHELD = -1;

  /** Value of {@link #firstWaitingOffset} if no task is waiting. */
  public static final int NO_TASK = -1;

  private static final long NO_STEP = -1;

  private final StateKey.RangeKey key;
  private RangeRecord record;
  private long version;

  /**
   * {@code null} if the job's record was never read, because the job had ended, the record is
   * unreadable, or the state cache has not received the record yet.
   */
  private JobSpec spec;

  /** The zone that the job's record restricts the range to, or {@code null}. */
  private String zone;

  private boolean released;
  private final RangeStopState stopState = new RangeStopState();

  /** Whether the range existed before this term: its tasks may be on workers not heard from yet. */
  private final boolean inherited;

  private final long waitingSinceMs;

  private final FinishedTasks finishedTasks = new FinishedTasks();
  private final Int2ObjectMap<TaskAttempt> placed = new Int2ObjectOpenHashMap<>();

  private final UnplacedTasks unplaced;
  private final WriteSchedule writes = new WriteSchedule();
  private long withheldSinceMs = NOT_WITHHELD;
  private long noRoomInStep = NO_STEP;

  TaskRange(
      StateKey.RangeKey key,
      RangeRecord record,
      long version,
      boolean inherited,
      long waitingSinceMs) {
    this.key = key;
    this.record = record;
    this.version = version;
    this.inherited = inherited;
    this.waitingSinceMs = waitingSinceMs;
    this.unplaced = new UnplacedTasks(record.size(), record.done());
  }

  // ---- the records of the range and its job

  /** Called when the range's record has changed. */
  void followRecord(RangeRecord next, long nextVersion) {
    record = next;
    version = nextVersion;
    unplaced.followRecord(record.size(), record.done());
    finishedTasks.followDone(record.done());
  }

  /** Called when the job's record is known. */
  void followJob(JobSpec jobSpec, String jobZone) {
    spec = jobSpec;
    zone = jobZone;
  }

  /** Called when the range no longer belongs to this shard. */
  void release() {
    released = true;
    finishedTasks.detachAllHeld();
  }

  // ---- tasks

  /** Records that the task is on a worker or is to be started there. */
  public void place(int offset, TaskAttempt attempt) {
    unplaced.remove(offset);
    placed.put(offset, attempt);
    withheldSinceMs = NOT_WITHHELD;
  }

  /** Records that the task is no longer on a worker and waits again. */
  Retry requeue(int offset, long retryWaitingSinceMs) {
    placed.remove(offset);
    Retry retry = new Retry(retryWaitingSinceMs);
    withheldSinceMs = NOT_WITHHELD;
    if (!isDurablyDone(offset) && !finishedTasks.offsets().get(offset)) {
      unplaced.addRetry(offset, retry);
    }
    return retry;
  }

  /** Records that the task has finished. */
  void finish(int offset) {
    withheldSinceMs = NOT_WITHHELD;
    placed.remove(offset);
    unplaced.remove(offset);
    if (!isDurablyDone(offset)) {
      finishedTasks.add(offset);
    }
  }

  /** Counts a failure of the task; returns how often the task has failed. */
  int countFailure(int offset) {
    return unplaced.countFailure(offset);
  }

  /** Excludes waiting tasks from placement, as they may move to another shard at any time. */
  public void reserveForReassignment(BitSet tasks) {
    unplaced.removeAll(tasks);
  }

  /** Lets those of these tasks that are still in the range wait here again. */
  void returnFromReassignment(BitSet tasks) {
    UnplacedTasks.clearFrom(record.size(), tasks);
    tasks.andNot(record.done());
    unplaced.addFresh(tasks);
  }

  /** Records that no machine had room for the range's tasks in this placement step. */
  public void markNoRoomIn(long step) {
    noRoomInStep = step;
  }

  /**
   * Records that since this time, resources for the range's tasks have been free but reserved for
   * others, while none of the range's tasks has started or ended.
   */
  public void markWithheldSince(long nowMs) {
    withheldSinceMs = nowMs;
  }

  /** Records that no resources are withheld from the range's tasks. */
  public void markNotWithheld() {
    withheldSinceMs = NOT_WITHHELD;
  }

  // ---- writes of the record

  /** Records that a write of the range's record is in progress; no other write may begin. */
  public void beginWrite() {
    writes.begin();
  }

  /** Whether a write of the range's record is in progress. */
  public boolean isWriting() {
    return writes.isInProgress();
  }

  WriteSchedule writes() {
    return writes;
  }

  /**
   * Returns the range's record with the tasks marked as done that have finished since its last
   * write.
   */
  RangeRecord recordWithFinished() {
    BitSet done = (BitSet) record.done().clone();
    done.or(finishedTasks.offsets());
    return record.withDone(done);
  }

  boolean hasOnlyFinishedTasks() {
    return record.done().cardinality() + finishedTasks.offsets().cardinality() >= record.size();
  }

  // ---- queries

  boolean contains(int taskIndex) {
    return taskIndex >= record.from() && taskIndex < record.to();
  }

  boolean isDurablyDone(int offset) {
    return record.done().get(offset);
  }

  /** Whether all tasks that wait for another attempt may be started now. */
  public boolean mayRetryAll(long nowMs) {
    return unplaced.mayRetryAll(nowMs);
  }

  /** Whether a task is waiting, is on no worker, and has never failed here. */
  public boolean isWaitingWithoutFailure(int offset) {
    return unplaced.isWaitingWithoutFailure(offset);
  }

  /** Returns the offset of a waiting task, or {@link #NO_TASK}. */
  public int firstWaitingOffset() {
    return unplaced.firstOffset();
  }

  /** Returns how many tasks of the range are waiting. */
  public int waitingCount() {
    return unplaced.count();
  }

  /** Whether another task of the range may be placed in a zone. */
  public boolean mayPlaceInZone(String name) {
    if (zone != null && !zone.equals(name)) {
      return false;
    }
    if (spec != null && spec.zone() != null && !spec.zone().equals(name)) {
      return false;
    }
    if (record.zoneLimits().isEmpty()) {
      return spec == null || !spec.spread();
    }
    return countInZone(name) < record.zoneLimits().getOrDefault(name, 0);
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

  /** Whether the range no longer belongs to this shard. */
  boolean isReleased() {
    return released;
  }

  RangeStopState stopState() {
    return stopState;
  }

  FinishedTasks finishedTasks() {
    return finishedTasks;
  }

  /** Returns the tasks that have finished but whose completion is not durable yet. */
  public BitSet finishedOffsets() {
    return finishedTasks.offsets();
  }

  /** Returns the waiting tasks that have not been on a worker in this term. */
  public BitSet freshOffsets() {
    return unplaced.fresh();
  }

  /** Whether the range existed before this term, so that its tasks may be on any worker. */
  public boolean isInherited() {
    return inherited;
  }

  /** Returns the key of the range: its job and its number within the job. */
  public StateKey.RangeKey key() {
    return key;
  }

  /**
   * Returns the last placement step without room for the range's tasks; negative if there was none.
   */
  public long noRoomInStep() {
    return noRoomInStep;
  }

  /** Returns the attempts at the tasks that are on workers, by the offsets of the tasks. */
  public Int2ObjectMap<TaskAttempt> placed() {
    return placed;
  }

  /** Returns the range's record. */
  public RangeRecord record() {
    return record;
  }

  /** Returns the tasks that wait again after having been on a worker, by their offsets. */
  public Int2ObjectMap<Retry> retries() {
    return unplaced.retries();
  }

  /** Returns what the user has submitted, or {@code null} if the job's record was never read. */
  public JobSpec spec() {
    return spec;
  }

  /** Returns the version of the range's record, or 0 if the range has no record of its own. */
  public long version() {
    return version;
  }

  /** Returns since when the range has been waiting, in milliseconds. */
  public long waitingSinceMs() {
    return waitingSinceMs;
  }

  /** Returns since when resources are withheld from the range's tasks, or {@link #NOT_WITHHELD}. */
  public long withheldSinceMs() {
    return withheldSinceMs;
  }

  /** Returns the zone that the job's record restricts the range to, or {@code null}. */
  public String zone() {
    return zone;
  }
}
