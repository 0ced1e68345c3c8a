package org.fieldtrestle.simulation;

/** The faults of one simulated machine. */
final class WorkerFaults {
  private final SimulatedTime time;
  private boolean failsTasks;
  private int slowness = 1;
  private long hangsUntilMs;
  private long deafUntilMs;
  private long muteUntilMs;
  private String unreachableLabel = "";
  private long unreachableUntilMs;

  WorkerFaults(SimulatedTime time) {
    this.time = time;
  }

  /** The machine stands still for a while; what reaches it is taken in afterwards. */
  void hang(long ms) {
    hangsUntilMs = time.now() + ms;
  }

  boolean isHanging() {
    return time.now() < hangsUntilMs;
  }

  /** For how long the machine goes on hanging. */
  long hangsForMs() {
    return hangsUntilMs - time.now();
  }

  /** For a while the machine's heartbeats leave, but nothing reaches it. */
  void deafen(long ms) {
    deafUntilMs = time.now() + ms;
  }

  boolean isDeaf() {
    return time.now() < deafUntilMs;
  }

  /** For a while the machine reaches no controller, while direct commands reach it. */
  void mute(long ms) {
    muteUntilMs = time.now() + ms;
  }

  boolean isMute() {
    return time.now() < muteUntilMs;
  }

  /** For a while the machine does not reach one controller, which still reaches it. */
  void disconnect(String label, long ms) {
    unreachableLabel = label;
    unreachableUntilMs = time.now() + ms;
  }

  /** Whether the machine's heartbeats reach a controller. */
  boolean reaches(String label) {
    return !isMute() && !(label.equals(unreachableLabel) && time.now() < unreachableUntilMs);
  }

  /** From now on all tasks on the machine fail. */
  void failTasks() {
    failsTasks = true;
  }

  boolean failsTasks() {
    return failsTasks;
  }

  /** From now on tasks on the machine take so many times longer. */
  void slowDown(int factor) {
    slowness = factor;
  }

  int slowness() {
    return slowness;
  }
}
