package org.fieldtrestle.protocol;

import java.util.List;

/**
 * A type of machine that the cloud rents out.
 *
 * @param cacheGb room for images on the machine
 * @param fetchGbPerS rate at which it fetches images, 0 where that is not known
 * @param price per hour
 * @param spotPrice per hour as a spot machine, 0 where there are none
 * @param bootS usual time in seconds from the rental until the worker reports
 * @param zones where it can be rented
 */
public record MachineType(
    String name,
    double cpus,
    double gpus,
    double memoryGb,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    double bootS,
    List<String> zones) {
  private static final double MAX_TASKS_PER_MACHINE = 10_000;

  /** Amounts are decimal fractions: three times 0.1 must fit into 0.3. */
  private static final double ROUNDING = 1e-6;

  /** Whether a task of the job fits on an empty machine. */
  public boolean fits(JobSpec spec) {
    return cpus >= spec.cpus() && gpus >= spec.gpus() && memoryGb >= spec.memoryGb();
  }

  /** How many tasks of a job fit on an empty machine; at least 1. */
  public int tasksPerMachine(JobSpec spec) {
    double most = MAX_TASKS_PER_MACHINE;
    if (spec.cpus() > 0) {
      most = Math.min(most, cpus / spec.cpus());
    }
    if (spec.gpus() > 0) {
      most = Math.min(most, gpus / spec.gpus());
    }
    if (spec.memoryGb() > 0) {
      most = Math.min(most, memoryGb / spec.memoryGb());
    }
    return Math.max(1, (int) Math.floor(most + ROUNDING));
  }

  /** How long the image of a job takes to fetch if nothing else is fetched, in seconds. */
  public double imageFetchS(JobSpec spec) {
    return fetchGbPerS > 0 ? spec.imageGb() / fetchGbPerS : 0;
  }

  /** Whether the job may run on machines of this type, and fits. */
  public boolean allowedFor(JobSpec spec) {
    return (spec.types().isEmpty() || spec.types().contains(name))
        && (spec.zone() == null || zones.contains(spec.zone()))
        && fits(spec);
  }
}
