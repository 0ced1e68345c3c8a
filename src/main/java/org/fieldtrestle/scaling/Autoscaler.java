package org.fieldtrestle.scaling;

import java.util.function.DoubleSupplier;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.MachineType;
import org.fieldtrestle.worker.FailureTracker;
import org.fieldtrestle.worker.LeadershipTerm;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.TaskRanges;
import org.fieldtrestle.worker.Worker;
import org.fieldtrestle.worker.WorkerRegistry;

/**
 * Keeps a shard's fleet at the size that its work needs, by running the parts of this package one
 * after another.
 */
public final class Autoscaler {
  private final ControllerContext context;
  private final WorkerRegistry workers;
  private final FailureTracker failures;
  private final WorkloadRate workloadRate;
  private final MachineHealth health;
  private final CloudListReconciler listReconciler;
  private final ScaleIn scaleIn;
  private final ScaleOut scaleOut;

  /**
   * Creates the autoscaler of a shard.
   *
   * @param inventory the shard's machine inventory
   * @param reservedCpus supplies the CPUs that are reserved for latency-sensitive jobs
   */
  public Autoscaler(
      ControllerContext context,
      LeadershipTerm term,
      WorkerRegistry workers,
      TaskRanges ranges,
      FailureTracker failures,
      MachineInventory inventory,
      DoubleSupplier reservedCpus) {
    this.context = context;
    this.workers = workers;
    this.failures = failures;
    MachineTypeSelector machineTypeSelector = new MachineTypeSelector(context);
    this.workloadRate = new WorkloadRate(context, machineTypeSelector);
    this.health = new MachineHealth(context, workers, failures);
    this.listReconciler = new CloudListReconciler(context, term, workers, inventory, health);
    this.scaleIn =
        new ScaleIn(context, term, workers, ranges, inventory, health, workloadRate, reservedCpus);
    DemandEstimator demandEstimator =
        new DemandEstimator(
            context, term, workers, ranges, failures, health, workloadRate, machineTypeSelector);
    this.scaleOut = new ScaleOut(context, term, workers, inventory, demandEstimator, workloadRate);
  }

  /** Called when this controller begins to lead the shard. */
  public void leadershipBegan() {
    workloadRate.begin();
    listReconciler.begin();
  }

  /** Called when a task range is added to this shard. */
  public void rangeAdded(TaskRange range) {
    workloadRate.rangeAdded(range);
  }

  /** Checks all machines, returns those that are not needed and rents more if any are missing. */
  public void tick(long nowMs) {
    failures.forgetEnded();
    listReconciler.tick(nowMs);
    FleetStatus fleet = new FleetStatus(context, workers, nowMs);
    for (Worker worker : workers.all()) {
      MachineType type = context.machineType(worker.machineType());
      if (!worker.isDraining()
          && type != null
          && !health.drainIfUnusable(worker, type, fleet, nowMs)) {
        scaleIn.drainIfIdle(worker, type, fleet, nowMs);
      }
    }
    scaleIn.adjustCordons(nowMs);
    scaleIn.terminateDrained(nowMs);
    scaleOut.tick(nowMs);
  }
}
