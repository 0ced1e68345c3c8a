package org.fieldtrestle.scaling;

import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.worker.TaskRange;

/**
 * The rate at which work arrives, as a moving average in machine-seconds per second. This is the
 * number of machines that arriving work keeps busy.
 */
final class WorkloadRate {
  /** Time constant of the moving average, in seconds. */
  private static final double TIME_CONSTANT_S = 150;

  /**
   * Number of machines that the fleet should have for each machine that arriving work keeps busy.
   */
  private static final double HEADROOM = 1.2;

  private final ControllerContext context;
  private final MachineTypeSelector machineTypeSelector;

  /** Machine-seconds of work that has arrived since the last update. */
  private double arrivedMachineS;

  private double busyMachines;
  private long updatedAtMs = -1;

  WorkloadRate(ControllerContext context, MachineTypeSelector machineTypeSelector) {
    this.context = context;
    this.machineTypeSelector = machineTypeSelector;
  }

  /** Starts to measure arriving work. */
  void begin() {
    updatedAtMs = context.nowMs();
  }

  /**
   * Adds the work of a task range. The work of an inherited range counts as having arrived when the
   * range was accepted. If it counted as arriving now, every restart and every failover would rent
   * machines for a rate of work that never existed.
   */
  void rangeAdded(TaskRange range) {
    if (range.spec() == null) {
      return;
    }
    if (range.isInherited()) {
      double ageS = (context.nowMs() - range.waitingSinceMs()) / 1000.0;
      busyMachines +=
          machineTypeSelector.machineSeconds(range.spec(), range.record().size())
              * Math.exp(-ageS / TIME_CONSTANT_S)
              / TIME_CONSTANT_S;
    } else {
      arrivedMachineS += machineTypeSelector.machineSeconds(range.spec(), range.waitingCount());
    }
  }

  /** Includes the work that has arrived since the last update in the average. */
  void update(long nowMs) {
    double elapsedS = (nowMs - updatedAtMs) / 1000.0;
    if (elapsedS <= 0) {
      return;
    }
    double decay = Math.exp(-elapsedS / TIME_CONSTANT_S);
    busyMachines = busyMachines * decay + arrivedMachineS / elapsedS * (1 - decay);
    arrivedMachineS = 0;
    updatedAtMs = nowMs;
  }

  /** Returns the number of machines that arriving work keeps busy. */
  double busyMachines() {
    return busyMachines;
  }

  /**
   * Returns the number of machines that the fleet should have for arriving work, including
   * headroom.
   */
  double targetMachines() {
    return busyMachines * HEADROOM;
  }
}
