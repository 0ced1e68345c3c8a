package org.fieldtrestle.worker;

import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.MachineType;

/** A machine's free amounts during one placement pass. */
public final class FreeResources {
  final Worker worker;
  final MachineType machineType;
  private double cpus;
  private double gpus;
  private double memoryGb;

  public FreeResources(
      Worker worker, MachineType machineType, double cpus, double gpus, double memoryGb) {
    this.worker = worker;
    this.machineType = machineType;
    this.cpus = cpus;
    this.gpus = gpus;
    this.memoryGb = memoryGb;
  }

  public boolean fits(JobSpec spec) {
    return has(spec.cpus(), spec.gpus(), spec.memoryGb());
  }

  /** Whether this much is free. */
  public boolean has(double ofCpus, double ofGpus, double ofMemoryGb) {
    double slack = 1e-6;
    return ofCpus <= cpus + slack && ofGpus <= gpus + slack && ofMemoryGb <= memoryGb + slack;
  }

  public void release(JobSpec spec) {
    cpus += spec.cpus();
    gpus += spec.gpus();
    memoryGb += spec.memoryGb();
  }

  public void take(JobSpec spec) {
    cpus -= spec.cpus();
    gpus -= spec.gpus();
    memoryGb -= spec.memoryGb();
  }

  public double cpus() {
    return Math.max(0, cpus);
  }

  public double gpus() {
    return Math.max(0, gpus);
  }

  public double memoryGb() {
    return Math.max(0, memoryGb);
  }

  /**
   * FreeResources left after taking a task, as the sum of shares: the paper's most matched has
   * least.
   */
  public double after(JobSpec spec) {
    return part(cpus - spec.cpus(), machineType.cpus())
        + part(gpus - spec.gpus(), machineType.gpus())
        + part(memoryGb - spec.memoryGb(), machineType.memoryGb());
  }

  private static double part(double left, double of) {
    return of > 0 ? left / of : 0;
  }

  public MachineType machineType() {
    return machineType;
  }

  public Worker worker() {
    return worker;
  }
}
