package org.fieldtrestle.worker;

import org.fieldtrestle.protocol.ExitCause;
import org.fieldtrestle.protocol.TaskId;

/** An attempt: one start of a task, which is or may be on a worker. */
public final class TaskAttempt {
  /** The state of the attempt as the worker has reported it last. */
  public enum State {
    /** The start command was sent or is to be sent. */
    STARTING,
    /** The worker is fetching the image. */
    FETCHING,
    /** The task is running. */
    RUNNING,
    /** The task was told to stop and is saving a checkpoint in its grace period. */
    SAVING,
    /** Ended, but kept until the worker was told to clear it and no longer reports it. */
    EXITED;

    /** Whether the worker has not yet reported that it has the image. */
    boolean isAwaitingImage() {
      return this == STARTING || this == FETCHING;
    }
  }

  /** A sequence that no heartbeat has. */
  static final long NO_SEQUENCE = -1;

  private static final long NOT_RUNNING = -1;

  private final TaskId task;
  private final long attemptNumber;
  private final Worker worker;

  /**
   * The team whose quota counts the attempt until the attempt is gone, even if its range has moved
   * to another shard.
   */
  private final String team;

  private final double cpus;
  private final double gpus;
  private final double memoryGb;

  /** The range of the task, or {@code null} once the range no longer belongs to this shard. */
  private TaskRange range;

  /** The incarnation of the worker in which the attempt was placed or discovered. */
  private final long incarnation;

  private final long placedAtMs;
  private final double waitedS;
  private State state = State.STARTING;
  private ExitCause exitCause = ExitCause.NONE;
  private final StopRequest stopRequest = new StopRequest();
  private boolean startSent;
  private boolean clearable;
  private boolean discovered;
  private boolean exemptFromPreemption;
  private long runningSinceMs = NOT_RUNNING;
  private long lastReportedIn = NO_SEQUENCE;
  private long startSentAfterSequence = NO_SEQUENCE;

  /**
   * How long the image would take to fetch alone, in seconds, if the worker was fetching another
   * image at the same time; otherwise 0.
   */
  private double uncontendedFetchS;

  /**
   * Creates an attempt that is placed on a worker, or discovered there, at the given time.
   *
   * @param waitedS for how long the task had waited before, in seconds
   */
  public TaskAttempt(
      TaskId task, long attemptNumber, Worker worker, TaskRange range, long nowMs, double waitedS) {
    this.task = task;
    this.attemptNumber = attemptNumber;
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

  /** Called only by {@link AttemptTable#changeState}, which keeps sums by state. */
  void setState(State next) {
    state = next;
  }

  /** Records the cause of the exit that the worker has reported. */
  void recordExit(ExitCause cause) {
    exitCause = cause;
  }

  /** Records that the worker runs the task. Only the first heartbeat that reports this counts. */
  void markRunning(long nowMs) {
    if (!hasRun()) {
      runningSinceMs = nowMs;
    }
  }

  /** Records that the start command was sent, so that the task may be on the worker. */
  void markStartSent() {
    startSent = true;
  }

  /**
   * Records that the start command was sent after the heartbeat with this sequence. Later
   * heartbeats show whether the command has arrived.
   */
  void expectReportAfter(long sequence) {
    startSentAfterSequence = sequence;
  }

  /** Called when a heartbeat has shown whether the start command has arrived. */
  void stopExpectingReport() {
    startSentAfterSequence = NO_SEQUENCE;
  }

  /** Records that the heartbeat with this sequence reports the attempt. */
  void markReportedIn(long sequence) {
    lastReportedIn = sequence;
  }

  /** Lets the worker forget the attempt, whose outcome is durable or no longer needed. */
  void markClearable() {
    clearable = true;
  }

  /** Records that this term found the attempt on its worker and has not seen its beginning. */
  void markDiscovered() {
    discovered = true;
    startSent = true;
  }

  /** Called when the range no longer belongs to this shard. */
  void detachRange() {
    range = null;
  }

  /**
   * Sets whether this task is exempt from preemption. The first task of a job that had waited too
   * long to begin is exempt: it has run for so short a time that a burst of tasks of a higher
   * priority would otherwise preempt it right after its placement.
   */
  public void setExemptFromPreemption(boolean exempt) {
    exemptFromPreemption = exempt;
  }

  /**
   * Records that the image shares the worker's download bandwidth with another image.
   *
   * @param uncontendedS how long the image would take to fetch alone, in seconds
   */
  public void markConcurrentFetch(double uncontendedS) {
    uncontendedFetchS = uncontendedS;
  }

  // ---- queries

  /** Returns the state of the attempt. */
  public State state() {
    return state;
  }

  /** Whether the attempt has not ended. */
  public boolean isLive() {
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

  /** Whether the heartbeat with this sequence shows if the start command has arrived. */
  boolean isReportExpectedIn(long sequence) {
    return startSentAfterSequence != NO_SEQUENCE && startSentAfterSequence < sequence;
  }

  boolean isReportedIn(long sequence) {
    return lastReportedIn == sequence;
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

  /** Returns since when the task has been running, in milliseconds; negative if it has not run. */
  public long runningSinceMs() {
    return runningSinceMs;
  }

  double elapsedS(long nowMs) {
    return hasRun() ? (nowMs - runningSinceMs) / 1000.0 : 0;
  }

  /** Returns for how long the task will still run if its job's estimate is right, in seconds. */
  public double remainingS(long nowMs, double estimateS) {
    return Math.max(0, estimateS - elapsedS(nowMs));
  }

  /**
   * Returns since when the task had waited before it was placed, in milliseconds. If the task is
   * lost, its waiting time continues to count from that time.
   */
  long waitingSinceMs() {
    return placedAtMs - Math.round(waitedS * 1000);
  }

  /** Returns for how long the task had waited before it was placed, in seconds. */
  public double waitedS() {
    return waitedS;
  }

  /** Returns when the attempt was placed or discovered, in milliseconds. */
  public long placedAtMs() {
    return placedAtMs;
  }

  /**
   * Returns how long the image would take to fetch alone, in seconds, if it shares the download
   * bandwidth with another image; otherwise 0.
   */
  double uncontendedFetchS() {
    return uncontendedFetchS;
  }

  /** Returns the grace period that the worker gives the task for saving its work, in seconds. */
  public double graceS() {
    return stopRequest.graceS();
  }

  ExitCause exitCause() {
    return exitCause;
  }

  /** Returns the task. */
  public TaskId task() {
    return task;
  }

  /** Returns the task's offset within its range. */
  int offset() {
    return task.index() - range.record().from();
  }

  /** Returns the number of this attempt. */
  public long attemptNumber() {
    return attemptNumber;
  }

  /** Returns the task's range, or {@code null} once the range no longer belongs to this shard. */
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

  /** Returns the CPUs that the task uses. */
  public double cpus() {
    return cpus;
  }

  /** Returns the GPUs that the task uses. */
  public double gpus() {
    return gpus;
  }

  /** Returns the memory that the task uses, in GB. */
  public double memoryGb() {
    return memoryGb;
  }

  @Override
  public String toString() {
    return task + "." + attemptNumber + "@" + worker.id();
  }
}
