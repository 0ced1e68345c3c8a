package org.fieldtrestle.scaling;

import java.util.Optional;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.MachineType;

/** Selects the machine type that is rented for a job. */
final class MachineTypeSelector {
  private final ControllerContext context;

  MachineTypeSelector(ControllerContext context) {
    this.context = context;
  }

  /**
   * Returns the machine type on which a task of a job costs least, or empty if no type allows the
   * job.
   */
  Optional<MachineType> cheapestFor(JobSpec spec) {
    MachineType cheapest = null;
    double lowestPrice = 0;
    for (MachineType type : context.machineTypes()) {
      if (type.isAllowedFor(spec)) {
        double price = pricePerTask(type, spec);
        if (cheapest == null || price < lowestPrice) {
          cheapest = type;
          lowestPrice = price;
        }
      }
    }
    return Optional.ofNullable(cheapest);
  }

  private static double pricePerTask(MachineType type, JobSpec spec) {
    double price =
        spec.spot() && type.spotPricePerHour() > 0 ? type.spotPricePerHour() : type.pricePerHour();
    return price / type.tasksPerMachine(spec);
  }

  /**
   * Returns the time in seconds for which the given number of tasks of a job occupies a whole
   * machine; 0 if no machine type allows the job.
   */
  double machineSeconds(JobSpec spec, int tasks) {
    Optional<MachineType> type = cheapestFor(spec);
    return type.isEmpty() ? 0 : tasks * spec.estimateS() / type.get().tasksPerMachine(spec);
  }
}
