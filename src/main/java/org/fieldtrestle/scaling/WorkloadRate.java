package org.fieldtrestle.scaling;

import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.worker.TaskRange;

/**
 * The rate at which work arrives, as a moving average: machine-seconds per second, which is the
 * number of machines that arriving work keeps busy.
 */
final class WorkloadRate {
  /** Time constant of the moving average, in seconds. */
  private static final double TIME_CONSTANT_S = 150;

  /** Machines that are worth having for each one that arriving work keeps busy. */
  private static final double HEADROOM = 1.2;

  private final ControllerContext context;
  private final MachineTypeSelector types;

  /** Machine-seconds that have arrived since the last update. */
  private double arrivedMachineS;

  private double busyMachines;
  private long updatedAtMs = -1;

  WorkloadRate(ControllerContext context, MachineTypeSelector types) {
    this.context = context;
    this.types = types;
  }

  /** Arriving work is measured from now on. */
  void begin() {
    updatedAtMs = context.now();
  }

  /**
   * Work has arrived. An inherited range arrived when it was accepted: counted as if all of it had
   * arrived at once, every restart and every failover would rent for a rate of work that there
   * never was.
   */
  void rangeAdded(TaskRange range) {
    if (range.spec() == null) {
      return;
    }
    if (range.isInherited()) {
      double agoS = (context.now() - range.waitingSinceMs()) / 1000.0;
      busyMachines +=
          types.machineSeconds(range.spec(), range.record().size())
              * Math.exp(-agoS / TIME_CONSTANT_S)
              / TIME_CONSTANT_S;
    } else {
      arrivedMachineS += types.machineSeconds(range.spec(), range.waitingCount());
    }
  }

  /** Takes what has arrived since the last update into the average. */
  void update(long nowMs) {
    double elapsedS = (nowMs - updatedAtMs) / 1000.0;
    if (elapsedS <= 0) {
      return;
    }
    double kept = Math.exp(-elapsedS / TIME_CONSTANT_S);
    busyMachines = busyMachines * kept + arrivedMachineS / elapsedS * (1 - kept);
    arrivedMachineS = 0;
    updatedAtMs = nowMs;
  }

  /** How many machines arriving work keeps busy. */
  double busyMachines() {
    return busyMachines;
  }

  /** How many machines are worth having for arriving work, with some headroom. */
  double targetMachines() {
    return busyMachines * HEADROOM;
  }
}
