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

  /** The type on which a task of a job costs least; empty if no type allows the job. */
  Optional<MachineType> cheapestFor(JobSpec spec) {
    MachineType cheapest = null;
    double lowestPrice = 0;
    for (MachineType type : context.types()) {
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

  /** The seconds for which some tasks of a job take a whole machine; 0 if no type allows it. */
  double machineSeconds(JobSpec spec, int tasks) {
    Optional<MachineType> type = cheapestFor(spec);
    return type.isEmpty() ? 0 : tasks * spec.estimateS() / type.get().tasksPerMachine(spec);
  }
}
