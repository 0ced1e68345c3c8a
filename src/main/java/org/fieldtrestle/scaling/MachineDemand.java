package org.fieldtrestle.scaling;

import java.util.Objects;
import org.fieldtrestle.protocol.MachineType;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.Worker;

/**
 * Waiting work of a range that has to be done within some time.
 *
 * @param type the machine type that is rented for it
 * @param spot whether it may run on spot machines
 * @param zone the only zone in which it may run; null if it may run in any
 * @param machineS the seconds for which it takes a whole machine
 * @param withinS the seconds within which it has to be done
 */
record MachineDemand(
    TaskRange range, MachineType type, boolean spot, String zone, double machineS, double withinS) {
  /** Whether two demands ask for the same machines. */
  boolean isSameKind(MachineDemand other) {
    return type.name().equals(other.type.name())
        && spot == other.spot
        && Objects.equals(zone, other.zone);
  }

  /** Whether a worker is a machine as this demand asks for. */
  boolean isServedBy(Worker worker) {
    return worker.machineType().equals(type.name())
        && (spot || !worker.isSpot())
        && (zone == null || zone.equals(worker.zone()));
  }
}
