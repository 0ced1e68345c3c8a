package org.fieldtrestle.worker;

import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.MachineType;

/** The free resources of a worker during a placement pass. */
public final class FreeResources {
  /** Tolerance for rounding errors in sums of fractions. */
  private static final double ROUNDING_TOLERANCE = 1e-6;

  private final Worker worker;
  private final MachineType machineType;
  private double cpus;
  private double gpus;
  private double memoryGb;

  /** Creates free resources of these amounts; memory is in GB. */
  public FreeResources(
      Worker worker, MachineType machineType, double cpus, double gpus, double memoryGb) {
    this.worker = worker;
    this.machineType = machineType;
    this.cpus = cpus;
    this.gpus = gpus;
    this.memoryGb = memoryGb;
  }

  /** Whether a task of the job fits into the free resources. */
  public boolean fits(JobSpec spec) {
    return has(spec.cpus(), spec.gpus(), spec.memoryGb());
  }

  /** Whether these amounts are free; memory is in GB. */
  public boolean has(double neededCpus, double neededGpus, double neededMemoryGb) {
    return neededCpus <= cpus + ROUNDING_TOLERANCE
        && neededGpus <= gpus + ROUNDING_TOLERANCE
        && neededMemoryGb <= memoryGb + ROUNDING_TOLERANCE;
  }

  /** Adds the resources of a task of the job that no longer uses them. */
  public void release(JobSpec spec) {
    cpus += spec.cpus();
    gpus += spec.gpus();
    memoryGb += spec.memoryGb();
  }

  /** Subtracts the resources of a task of the job. */
  public void take(JobSpec spec) {
    cpus -= spec.cpus();
    gpus -= spec.gpus();
    memoryGb -= spec.memoryGb();
  }

  /** Returns the free CPUs. */
  public double cpus() {
    return Math.max(0, cpus);
  }

  /** Returns the free GPUs. */
  public double gpus() {
    return Math.max(0, gpus);
  }

  /** Returns the free memory in GB. */
  public double memoryGb() {
    return Math.max(0, memoryGb);
  }

  /**
   * Returns the resources that would be left after placing a task of the job, as the sum of their
   * fractions of the machine's total amounts. Bin packing selects the worker with the lowest
   * result.
   */
  public double remainingFractionAfter(JobSpec spec) {
    return fraction(cpus - spec.cpus(), machineType.cpus())
        + fraction(gpus - spec.gpus(), machineType.gpus())
        + fraction(memoryGb - spec.memoryGb(), machineType.memoryGb());
  }

  private static double fraction(double remaining, double total) {
    return total > 0 ? remaining / total : 0;
  }

  /** Returns the worker's machine type. */
  public MachineType machineType() {
    return machineType;
  }

  /** Returns the worker. */
  public Worker worker() {
    return worker;
  }
}
