package org.fieldtrestle.simulation;

/** The faults of one simulated machine. */
final class WorkerFaults {
  private final SimulatedTime time;
  private boolean failingTasks;
  private int slowdownFactor = 1;
  private long hangUntilMs;
  private long incomingBlockedUntilMs;
  private long heartbeatsBlockedUntilMs;
  private String unreachableController = "";
  private long unreachableUntilMs;

  WorkerFaults(SimulatedTime time) {
    this.time = time;
  }

  /** The machine stands still for a while; what reaches it is taken in afterwards. */
  void hang(long ms) {
    hangUntilMs = time.now() + ms;
  }

  boolean isHanging() {
    return time.now() < hangUntilMs;
  }

  /** For how long the machine goes on hanging. */
  long remainingHangMs() {
    return hangUntilMs - time.now();
  }

  /** For a while the machine's heartbeats leave, but nothing reaches it. */
  void blockIncoming(long ms) {
    incomingBlockedUntilMs = time.now() + ms;
  }

  boolean isIncomingBlocked() {
    return time.now() < incomingBlockedUntilMs;
  }

  /** For a while the machine reaches no controller, while direct commands reach it. */
  void blockHeartbeats(long ms) {
    heartbeatsBlockedUntilMs = time.now() + ms;
  }

  boolean areHeartbeatsBlocked() {
    return time.now() < heartbeatsBlockedUntilMs;
  }

  /** For a while the machine does not reach one controller, which still reaches it. */
  void disconnect(String label, long ms) {
    unreachableController = label;
    unreachableUntilMs = time.now() + ms;
  }

  /** Whether the machine's heartbeats reach a controller. */
  boolean canReach(String label) {
    return !areHeartbeatsBlocked()
        && !(label.equals(unreachableController) && time.now() < unreachableUntilMs);
  }

  /** From now on all tasks on the machine fail. */
  void failTasks() {
    failingTasks = true;
  }

  boolean isFailingTasks() {
    return failingTasks;
  }

  /** From now on tasks on the machine take so many times longer. */
  void slowDown(int factor) {
    slowdownFactor = factor;
  }

  int slowdownFactor() {
    return slowdownFactor;
  }
}
