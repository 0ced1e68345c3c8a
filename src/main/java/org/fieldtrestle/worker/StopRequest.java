package org.fieldtrestle.worker;

/** Whether an attempt is to be stopped, with what grace period, and whether its worker was told. */
final class StopRequest {
  private enum State {
    NONE,
    PENDING,
    SENT
  }

  private State state = State.NONE;
  private double graceS;

  /** The attempt is to be stopped, with so many seconds to save its work. */
  void request(double graceSeconds) {
    state = State.PENDING;
    graceS = graceSeconds;
  }

  /** A stop command for the task was sent to the worker. */
  void markSent() {
    if (state == State.PENDING) {
      state = State.SENT;
    }
  }

  boolean isRequested() {
    return state != State.NONE;
  }

  /** Whether the attempt is to be stopped without any time to save its work. */
  boolean isWithoutGrace() {
    return isRequested() && graceS <= 0;
  }

  /** Whether the attempt is to be stopped and the worker was not sent the command yet. */
  boolean isPending() {
    return state == State.PENDING;
  }

  boolean isSent() {
    return state == State.SENT;
  }

  /** The time for saving its work, in s; 0 where the attempt is not to be stopped. */
  double graceS() {
    return graceS;
  }
}
