package org.fieldtrestle.worker;

/** Why and since when the tasks of a range have to be stopped, as far as the shard knows. */
final class RangeStopState {
  private static final long NOT_STOPPING = -1;

  private boolean cancelled;
  private boolean ended;
  private long stoppingSinceMs = NOT_STOPPING;
  private boolean pendingStopsLogged;

  /** Called when another controller has reported that the job is cancelled. */
  void markCancelled() {
    cancelled = true;
  }

  /** Called when the job has ended and its range still has to be removed. */
  void markEnded() {
    ended = true;
  }

  /**
   * Records that the tasks have to be stopped from this time on, unless that was recorded before.
   */
  void markStopping(long nowMs) {
    if (!isStopping()) {
      stoppingSinceMs = nowMs;
    }
  }

  /** Called when the reason why tasks are not stopped yet was logged. */
  void markPendingStopsLogged() {
    pendingStopsLogged = true;
  }

  boolean isCancelled() {
    return cancelled;
  }

  boolean isEnded() {
    return ended;
  }

  boolean isStopping() {
    return stoppingSinceMs != NOT_STOPPING;
  }

  /**
   * Returns since when the tasks have to be stopped; negative if they do not have to be stopped.
   */
  long stoppingSinceMs() {
    return stoppingSinceMs;
  }

  boolean arePendingStopsLogged() {
    return pendingStopsLogged;
  }
}
