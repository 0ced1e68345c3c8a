package org.fieldtrestle.worker;

/** A task that waits again after having been on a worker. */
public final class Retry {
  private long waitingSinceMs;
  private long notBeforeMs;

  Retry(long waitingSinceMs) {
    this.waitingSinceMs = waitingSinceMs;
  }

  /** Since when the task counts as waiting, in ms. */
  public long waitingSince() {
    return waitingSinceMs;
  }

  /** The time before which the task is not started again, in ms. */
  public long notBefore() {
    return notBeforeMs;
  }

  /** The task counts as waiting from now on. */
  void restartWaiting(long nowMs) {
    waitingSinceMs = nowMs;
  }

  /** The task is not to be started again before this time. */
  void delayUntil(long timeMs) {
    notBeforeMs = timeMs;
  }
}
