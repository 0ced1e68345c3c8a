package org.fieldtrestle.worker;

/** A task that waits again after having been on a worker. */
public final class Retry {
  private long waitingSinceMs;
  private long notBeforeMs;

  Retry(long waitingSinceMs) {
    this.waitingSinceMs = waitingSinceMs;
  }

  /** Returns since when the task counts as waiting, in milliseconds. */
  public long waitingSinceMs() {
    return waitingSinceMs;
  }

  /** Returns the time before which the task must not be started again, in milliseconds. */
  public long notBeforeMs() {
    return notBeforeMs;
  }

  /** Lets the waiting time of the task start now. */
  void restartWaiting(long nowMs) {
    waitingSinceMs = nowMs;
  }

  /** Delays the next start of the task until this time. */
  void delayUntil(long timeMs) {
    notBeforeMs = timeMs;
  }
}
