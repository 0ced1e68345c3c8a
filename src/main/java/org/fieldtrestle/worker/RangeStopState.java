package org.fieldtrestle.worker;

/** Why and since when the tasks of a range have to be stopped, as far as the shard was told. */
final class RangeStopState {
  private static final long NOT_STOPPING = -1;

  private boolean cancelled;
  private boolean ended;
  private long stoppingSinceMs = NOT_STOPPING;
  private boolean pendingStopsLogged;

  /** Another controller has said that the job is cancelled. */
  void markCancelled() {
    cancelled = true;
  }

  /** The job has ended while its range still has to be removed. */
  void markEnded() {
    ended = true;
  }

  /** The tasks have to be stopped, from this time on where that was not so before. */
  void markStopping(long nowMs) {
    if (!isStopping()) {
      stoppingSinceMs = nowMs;
    }
  }

  /** The reason for which the tasks are not stopped yet was logged. */
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

  /** Since when the tasks have to be stopped, where they have to be. */
  long stoppingSinceMs() {
    return stoppingSinceMs;
  }

  boolean arePendingStopsLogged() {
    return pendingStopsLogged;
  }
}
