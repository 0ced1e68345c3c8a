package org.fieldtrestle.worker;

/**
 * Whether a worker is in use: its machine came up, it drains, and its machine goes back to the
 * cloud. Times are in ms.
 */
abstract sealed class WorkerLifecycle permits Worker {
  private static final long NEVER = -1;
  private static final String NOT_DRAINING = "";

  /** How far the return of the machine to the cloud has come. */
  private enum Termination {
    NONE,
    REQUESTED,
    DONE
  }

  /** The machine's record says that tasks may have been started on it. */
  private boolean up;

  /** The write of that record was requested. */
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

  /** Follows the machine's record; returns whether tasks may be started from now on. */
  boolean followRecord(boolean recordUp, long nowMs) {
    boolean comesUp = !up && recordUp;
    if (comesUp) {
      idleSinceMs = nowMs;
    }
    up = recordUp;
    return comesUp;
  }

  /** A heartbeat was accepted; returns whether the record that it is up has to be written. */
  boolean reportUp() {
    if (up || upReported) {
      return false;
    }
    upReported = true;
    return true;
  }

  /** The worker takes nothing new, and its machine goes once nothing is on it. */
  public void drain(String reason) {
    drainReason = reason;
  }

  void stopDraining() {
    drainReason = NOT_DRAINING;
  }

  /** The worker takes no new tasks for as long as other workers have room. */
  public void cordon() {
    cordoned = true;
  }

  /** The worker takes new tasks again. */
  public void uncordon() {
    cordoned = false;
  }

  /** No new tasks before this time. */
  void quarantineUntil(long timeMs) {
    quarantineUntilMs = timeMs;
  }

  void endQuarantine() {
    quarantineUntilMs = 0;
  }

  /** The cloud has given notice that it takes the machine back at this time. */
  void giveSpotNotice(long untilMs) {
    spotNoticeUntilMs = untilMs;
  }

  /** The machine is being returned to the cloud and gets no further commands. */
  public void beginTermination() {
    if (termination == Termination.NONE) {
      termination = Termination.REQUESTED;
    }
  }

  /** The cloud has taken the machine back; only its record still has to go. */
  public void markTerminated() {
    termination = Termination.DONE;
  }

  /** Tasks were placed or reported on the worker at this time. */
  public void markBusy(long nowMs) {
    idleSinceMs = nowMs;
  }

  /** Whether the machine's record says that tasks may have been started on it. */
  public boolean isUp() {
    return up;
  }

  /** Whether the worker takes nothing new and goes once it is empty. */
  public boolean isDraining() {
    return !drainReason.isEmpty();
  }

  /** Why the worker is draining; empty where it is not. */
  public String drainReason() {
    return drainReason;
  }

  /** Whether the worker takes nothing new for as long as other workers have room. */
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

  /** When the cloud takes the machine back, in ms, where it has given notice. */
  public long spotNoticeUntil() {
    return spotNoticeUntilMs;
  }

  /** Whether the machine is being returned to the cloud, or was. */
  public boolean isTerminating() {
    return termination != Termination.NONE;
  }

  /** Whether the cloud has taken the machine back. */
  public boolean isTerminated() {
    return termination == Termination.DONE;
  }

  /** When the worker was seen with a task last, or came up, in ms. */
  public long idleSince() {
    return idleSinceMs;
  }
}
