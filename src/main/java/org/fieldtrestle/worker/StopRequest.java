package org.fieldtrestle.worker;

/** Whether an attempt is to be stopped, with what grace period, and whether the worker was told. */
final class StopRequest {
  private enum State {
    NONE,
    PENDING,
    SENT
  }

  private State state = State.NONE;
  private double graceS;

  /** Requests that the attempt is stopped with this grace period for saving its work. */
  void request(double graceSeconds) {
    state = State.PENDING;
    graceS = graceSeconds;
  }

  /** Called when a stop command for the task was sent to the worker. */
  void markSent() {
    if (state == State.PENDING) {
      state = State.SENT;
    }
  }

  boolean isRequested() {
    return state != State.NONE;
  }

  /** Whether the attempt is to be stopped without a grace period. */
  boolean isWithoutGrace() {
    return isRequested() && graceS <= 0;
  }

  /** Whether the attempt is to be stopped and no stop command was sent to the worker yet. */
  boolean isPending() {
    return state == State.PENDING;
  }

  boolean isSent() {
    return state == State.SENT;
  }

  /**
   * Returns the grace period for saving the work, in seconds; 0 if the attempt is not to be
   * stopped.
   */
  double graceS() {
    return graceS;
  }
}
