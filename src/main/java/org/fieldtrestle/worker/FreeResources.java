package org.fieldtrestle.worker;

import org.fieldtrestle.protocol.CloudProtocol.MachineType;
import org.fieldtrestle.protocol.JobSpec;

/** What is free on one worker during one placement pass. */
public final class FreeResources {
  /** Sums of fractions may miss a whole amount by this much. */
  private static final double ROUNDING = 1e-6;

  private final Worker worker;
  private final MachineType machineType;
  private double cpus;
  private double gpus;
  private double memoryGb;

  /** These amounts are free; memory is in GB. */
  public FreeResources(
      Worker worker, MachineType machineType, double cpus, double gpus, double memoryGb) {
    this.worker = worker;
    this.machineType = machineType;
    this.cpus = cpus;
    this.gpus = gpus;
    this.memoryGb = memoryGb;
  }

  /** Whether a task of the job fits. */
  public boolean fits(JobSpec spec) {
    return has(spec.cpus(), spec.gpus(), spec.memoryGb());
  }

  /** Whether this much is free; memory is in GB. */
  public boolean has(double ofCpus, double ofGpus, double ofMemoryGb) {
    return ofCpus <= cpus + ROUNDING
        && ofGpus <= gpus + ROUNDING
        && ofMemoryGb <= memoryGb + ROUNDING;
  }

  /** A task of the job no longer takes its part. */
  public void release(JobSpec spec) {
    cpus += spec.cpus();
    gpus += spec.gpus();
    memoryGb += spec.memoryGb();
  }

  /** A task of the job takes its part. */
  public void take(JobSpec spec) {
    cpus -= spec.cpus();
    gpus -= spec.gpus();
    memoryGb -= spec.memoryGb();
  }

  /** Free CPUs. */
  public double cpus() {
    return Math.max(0, cpus);
  }

  /** Free GPUs. */
  public double gpus() {
    return Math.max(0, gpus);
  }

  /** Free memory in GB. */
  public double memoryGb() {
    return Math.max(0, memoryGb);
  }

  /**
   * What is left after taking a task of the job, as the sum of the shares of the machine's amounts.
   * Bin packing takes the worker with the least.
   */
  public double after(JobSpec spec) {
    return part(cpus - spec.cpus(), machineType.cpus())
        + part(gpus - spec.gpus(), machineType.gpus())
        + part(memoryGb - spec.memoryGb(), machineType.memoryGb());
  }

  private static double part(double left, double of) {
    return of > 0 ? left / of : 0;
  }

  /** The worker's machine type. */
  public MachineType machineType() {
    return machineType;
  }

  /** The worker. */
  public Worker worker() {
    return worker;
  }
}
