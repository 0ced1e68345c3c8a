package org.fieldtrestle.worker;

/**
 * The lifecycle of a worker: its machine comes up, the worker drains, and the machine is returned
 * to the cloud. Times are in milliseconds.
 */
abstract sealed class WorkerLifecycle permits Worker {
  private static final long NEVER = -1;
  private static final String NOT_DRAINING = "";

  /** Progress of the return of the machine to the cloud. */
  private enum Termination {
    NONE,
    REQUESTED,
    DONE
  }

  /** Whether the machine's record says that tasks may have been started on the machine. */
  private boolean up;

  /** Whether the write of that record was requested. */
  private boolean upReported;

  private String drainReason = NOT_DRAINING;
  private boolean cordoned;
  private Termination termination = Termination.NONE;
  private long spotNoticeUntilMs = NEVER;
  private long quarantineUntilMs;
  private long idleSinceMs;

  WorkerLifecycle(long nowMs) {
    this.idleSinceMs = nowMs;
  }

  /**
   * Applies the machine's record; returns whether tasks may be started from now on but not before.
   */
  boolean followRecord(boolean recordUp, long nowMs) {
    boolean comesUp = !up && recordUp;
    if (comesUp) {
      idleSinceMs = nowMs;
    }
    up = recordUp;
    return comesUp;
  }

  /**
   * Called when a heartbeat was accepted; returns whether the record that the machine is up has to
   * be written.
   */
  boolean markUpReported() {
    if (up || upReported) {
      return false;
    }
    upReported = true;
    return true;
  }

  /**
   * Gives the worker no new tasks and lets its machine be returned once the worker has no tasks.
   */
  public void drain(String reason) {
    drainReason = reason;
  }

  void stopDraining() {
    drainReason = NOT_DRAINING;
  }

  /** Gives the worker no new tasks as long as other workers have room. */
  public void cordon() {
    cordoned = true;
  }

  /** Lets the worker take new tasks again. */
  public void uncordon() {
    cordoned = false;
  }

  /** Gives the worker no new tasks before this time. */
  void quarantineUntil(long timeMs) {
    quarantineUntilMs = timeMs;
  }

  void endQuarantine() {
    quarantineUntilMs = 0;
  }

  /** Records the cloud's notice that it will take the machine back at this time. */
  void recordSpotNotice(long untilMs) {
    spotNoticeUntilMs = untilMs;
  }

  /**
   * Called when the return of the machine to the cloud begins. The worker gets no further commands.
   */
  public void beginTermination() {
    if (termination == Termination.NONE) {
      termination = Termination.REQUESTED;
    }
  }

  /** Called when the cloud has taken the machine back and only its record remains to be removed. */
  public void markTerminated() {
    termination = Termination.DONE;
  }

  /** Records that tasks were placed or reported on the worker at this time. */
  public void markBusy(long nowMs) {
    idleSinceMs = nowMs;
  }

  /** Whether the machine's record says that tasks may have been started on the machine. */
  public boolean isUp() {
    return up;
  }

  /**
   * Whether the worker gets no new tasks and its machine is returned once the worker has no tasks.
   */
  public boolean isDraining() {
    return !drainReason.isEmpty();
  }

  /** Returns why the worker is draining; empty if it is not draining. */
  public String drainReason() {
    return drainReason;
  }

  /** Whether the worker gets no new tasks as long as other workers have room. */
  public boolean isCordoned() {
    return cordoned;
  }

  boolean isQuarantined(long nowMs) {
    return nowMs < quarantineUntilMs;
  }

  /** Whether the cloud has given notice that it takes the machine back. */
  public boolean hasSpotNotice() {
    return spotNoticeUntilMs != NEVER;
  }

  /** Returns when the cloud takes the machine back, in milliseconds; negative without a notice. */
  public long spotNoticeUntilMs() {
    return spotNoticeUntilMs;
  }

  /** Whether the machine is being returned or was returned to the cloud. */
  public boolean isTerminating() {
    return termination != Termination.NONE;
  }

  /** Whether the cloud has taken the machine back. */
  public boolean isTerminated() {
    return termination == Termination.DONE;
  }

  /** Returns when the worker last had a task or came up, in milliseconds. */
  public long idleSinceMs() {
    return idleSinceMs;
  }
}
