package org.fieldtrestle.protocol;

import java.util.List;

/**
 * A type of machine that the cloud rents out.
 *
 * @param cacheGb size of the machine's image cache
 * @param fetchGbPerS rate at which the machine fetches images; 0 if unknown
 * @param pricePerHour price per hour
 * @param spotPricePerHour price per hour of a spot machine; 0 if the cloud offers none of this type
 * @param bootS usual time in seconds from the rental until the worker sends its first heartbeat
 * @param zones zones in which the type can be rented
 */
public record MachineType(
    String name,
    double cpus,
    double gpus,
    double memoryGb,
    double cacheGb,
    double fetchGbPerS,
    double pricePerHour,
    double spotPricePerHour,
    double bootS,
    List<String> zones) {
  private static final double MAX_TASKS_PER_MACHINE = 10_000;

  /**
   * Tolerance for rounding of decimal fractions: three tasks of 0.1 CPUs each must fit into 0.3.
   */
  private static final double ROUNDING = 1e-6;

  /** Whether a task of the job fits on an empty machine. */
  public boolean fits(JobSpec spec) {
    return cpus >= spec.cpus() && gpus >= spec.gpus() && memoryGb >= spec.memoryGb();
  }

  /** Returns how many tasks of a job fit on an empty machine, at least 1. */
  public int tasksPerMachine(JobSpec spec) {
    double maxTasks = MAX_TASKS_PER_MACHINE;
    if (spec.cpus() > 0) {
      maxTasks = Math.min(maxTasks, cpus / spec.cpus());
    }
    if (spec.gpus() > 0) {
      maxTasks = Math.min(maxTasks, gpus / spec.gpus());
    }
    if (spec.memoryGb() > 0) {
      maxTasks = Math.min(maxTasks, memoryGb / spec.memoryGb());
    }
    return Math.max(1, (int) Math.floor(maxTasks + ROUNDING));
  }

  /**
   * Returns how long a machine takes to fetch the image of a job if it fetches nothing else, in
   * seconds; 0 if its rate is unknown.
   */
  public double imageFetchS(JobSpec spec) {
    return fetchGbPerS > 0 ? spec.imageGb() / fetchGbPerS : 0;
  }

  /**
   * Whether a job may run on machines of this type and one of its tasks fits on an empty machine.
   */
  public boolean isAllowedFor(JobSpec spec) {
    return (spec.types().isEmpty() || spec.types().contains(name))
        && (spec.zone() == null || zones.contains(spec.zone()))
        && fits(spec);
  }
}
