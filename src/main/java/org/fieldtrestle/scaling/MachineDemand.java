package org.fieldtrestle.scaling;

import java.util.Objects;
import org.fieldtrestle.protocol.MachineType;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.Worker;

/**
 * Waiting work of a range that has to be done within a time limit.
 *
 * @param range the range whose tasks wait
 * @param type the machine type that is rented for it
 * @param spot whether the work may run on spot machines
 * @param zone the only zone in which the work may run; {@code null} if it may run in any zone
 * @param machineS the time in seconds for which the work occupies a whole machine
 * @param timeLimitS the time in seconds within which the work has to be done
 */
record MachineDemand(
    TaskRange range,
    MachineType type,
    boolean spot,
    String zone,
    double machineS,
    double timeLimitS) {
  /** Whether another demand asks for the same kind of machines. */
  boolean isSameKind(MachineDemand other) {
    return type.name().equals(other.type.name())
        && spot == other.spot
        && Objects.equals(zone, other.zone);
  }

  /** Whether a worker is a machine of the kind that this demand asks for. */
  boolean isServedBy(Worker worker) {
    return worker.machineType().equals(type.name())
        && (spot || !worker.isSpot())
        && (zone == null || zone.equals(worker.zone()));
  }
}
