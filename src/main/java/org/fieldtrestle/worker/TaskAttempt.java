package org.fieldtrestle.worker;

import org.fieldtrestle.protocol.TaskId;
import org.fieldtrestle.protocol.WorkerProtocol.Cause;

/** One start of a task: an attempt that is, or may be, on a worker. */
public final class TaskAttempt {
  /** Where the attempt stands, as far as the worker has reported it. */
  public enum State {
    /** The start command was sent, or will be. */
    STARTING,
    /** The worker fetches the image. */
    FETCHING,
    /** The task runs. */
    RUNNING,
    /** The task was stopped and saves a checkpoint in its grace period. */
    SAVING,
    /** Ended; stays until the worker was told to clear it and no longer reports it. */
    EXITED;

    /** Whether the image is not there yet, as far as is known. */
    boolean isBeforeImage() {
      return this == STARTING || this == FETCHING;
    }
  }

  /** Stands for the number of a heartbeat where there is none. */
  static final long NO_SEQUENCE = -1;

  private static final long NOT_RUNNING = -1;

  private final TaskId task;
  private final long attempt;
  private final Worker worker;

  /** The team whose quota counts the attempt until it is gone, whatever becomes of its range. */
  private final String team;

  private final double cpus;
  private final double gpus;
  private final double memoryGb;

  /** Null once the range is no longer this shard's. */
  private TaskRange range;

  /** The incarnation of the worker in which the attempt was placed or discovered. */
  private final long incarnation;

  private final long placedAtMs;
  private final double waitedS;
  private State state = State.STARTING;
  private Cause exitCause = Cause.NONE;
  private final StopRequest stopRequest = new StopRequest();
  private boolean startSent;
  private boolean clearable;
  private boolean discovered;
  private boolean exemptFromPreemption;
  private long runningSinceMs = NOT_RUNNING;
  private long lastShownIn = NO_SEQUENCE;
  private long startSentAfter = NO_SEQUENCE;

  /** How long the image takes by itself where the worker was fetching another one; else 0. */
  private double concurrentFetchAloneS;

  /**
   * An attempt that is placed on a worker, or discovered there, at this time.
   *
   * @param waitedS for how long the task had waited before
   */
  public TaskAttempt(
      TaskId task, long attempt, Worker worker, TaskRange range, long nowMs, double waitedS) {
    this.task = task;
    this.attempt = attempt;
    this.worker = worker;
    this.range = range;
    this.team = range.record().team();
    this.cpus = range.record().cpus();
    this.gpus = range.record().gpus();
    this.memoryGb = range.spec() == null ? 0 : range.spec().memoryGb();
    this.incarnation = worker.incarnation();
    this.placedAtMs = nowMs;
    this.waitedS = waitedS;
  }

  // ---- transitions

  /** To be called by {@link AttemptTable#changeState} only, which keeps sums by state. */
  void enter(State next) {
    state = next;
  }

  /** The worker has reported why the attempt ended. */
  void recordExit(Cause cause) {
    exitCause = cause;
  }

  /** The worker runs the task; counts from the first heartbeat that says so. */
  void markRunning(long nowMs) {
    if (!hasRun()) {
      runningSinceMs = nowMs;
    }
  }

  /** The start command was sent at least once, so that the task may be on the worker. */
  void markStartSent() {
    startSent = true;
  }

  /** The start command was sent after this heartbeat: the next ones show whether it has arrived. */
  void awaitInHeartbeatAfter(long sequence) {
    startSentAfter = sequence;
  }

  /** A heartbeat has shown whether the start command arrived. */
  void stopAwaiting() {
    startSentAfter = NO_SEQUENCE;
  }

  /** The heartbeat with this number shows the attempt. */
  void markShownIn(long sequence) {
    lastShownIn = sequence;
  }

  /** What the exit means is durable, or of no use, so that the worker may forget the attempt. */
  void markClearable() {
    clearable = true;
  }

  /** The attempt was on its worker when this term found it: its beginning was not seen. */
  void markDiscovered() {
    discovered = true;
    startSent = true;
  }

  /** The range is no longer this shard's. */
  void detachRange() {
    range = null;
  }

  /**
   * Sets whether no other task may preempt this one. The first task of a job that had waited too
   * long to begin is exempt: it has run so little that a burst of a higher priority would otherwise
   * preempt it as soon as it is placed.
   */
  public void exemptFromPreemption(boolean exempt) {
    exemptFromPreemption = exempt;
  }

  /** The image shares the worker's download bandwidth; it would take so long by itself. */
  public void expectConcurrentFetch(double aloneS) {
    concurrentFetchAloneS = aloneS;
  }

  // ---- queries

  /** Where the attempt stands. */
  public State state() {
    return state;
  }

  /** Whether the attempt has not ended. */
  public boolean live() {
    return state != State.EXITED;
  }

  /** Whether the attempt is to be stopped. */
  public boolean isStopping() {
    return stopRequest.isRequested();
  }

  StopRequest stopRequest() {
    return stopRequest;
  }

  boolean isStartSent() {
    return startSent;
  }

  /** Whether a heartbeat after this number shows whether the start command has arrived. */
  boolean isAwaitedIn(long sequence) {
    return startSentAfter != NO_SEQUENCE && startSentAfter < sequence;
  }

  boolean isShownIn(long sequence) {
    return lastShownIn == sequence;
  }

  boolean isClearable() {
    return clearable;
  }

  boolean isDiscovered() {
    return discovered;
  }

  /** Whether no other task may preempt this one. */
  public boolean isExemptFromPreemption() {
    return exemptFromPreemption;
  }

  /** Whether the worker has ever reported the task as running. */
  public boolean hasRun() {
    return runningSinceMs != NOT_RUNNING;
  }

  /** Since when the task runs, in ms; below 0 where it does not yet. */
  public long runningSince() {
    return runningSinceMs;
  }

  double elapsedS(long nowMs) {
    return hasRun() ? (nowMs - runningSinceMs) / 1000.0 : 0;
  }

  /** How long the task still runs if its job's estimate is right, in s. */
  public double remainingS(long nowMs, double estimateS) {
    return Math.max(0, estimateS - elapsedS(nowMs));
  }

  /** Since when the task had waited before it was placed; a lost task waits on from there. */
  long waitingSinceMs() {
    return placedAtMs - Math.round(waitedS * 1000);
  }

  /** For how long the task had waited before it was placed, in s. */
  public double waitedS() {
    return waitedS;
  }

  /** When the attempt was placed or discovered, in ms. */
  public long placedAt() {
    return placedAtMs;
  }

  /** How long the image should take by itself where it shares the bandwidth; else 0. */
  double concurrentFetchAloneS() {
    return concurrentFetchAloneS;
  }

  /** The time that the worker is to give the task for saving its work, in s. */
  public double graceS() {
    return stopRequest.graceS();
  }

  Cause exitCause() {
    return exitCause;
  }

  /** The task. */
  public TaskId task() {
    return task;
  }

  /** The task's number within its range. */
  int offset() {
    return task.index() - range.record().from();
  }

  /** The number of this start of the task. */
  public long attempt() {
    return attempt;
  }

  /** The range that the task is in; null once that is no longer this shard's. */
  public TaskRange range() {
    return range;
  }

  Worker worker() {
    return worker;
  }

  long incarnation() {
    return incarnation;
  }

  String team() {
    return team;
  }

  /** CPUs that the task takes. */
  public double cpus() {
    return cpus;
  }

  /** GPUs that the task takes. */
  public double gpus() {
    return gpus;
  }

  /** Memory that the task takes, in GB. */
  public double memoryGb() {
    return memoryGb;
  }

  @Override
  public String toString() {
    return task + "." + attempt + "@" + worker.id();
  }
}
