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

/** Runs the parts that keep a shard's fleet at the size that its work needs, one after another. */
public final class Autoscaler {
  private final ControllerContext context;
  private final WorkerRegistry workers;
  private final FailureTracker failures;
  private final WorkloadRate workload;
  private final MachineHealth health;
  private final CloudListReconciler listReconciler;
  private final ScaleIn scaleIn;
  private final ScaleOut scaleOut;

  /**
   * Sets up scaling for a shard.
   *
   * @param inventory the shard's durable list of machines
   * @param reservedCpus CPUs that are kept free for latency-sensitive jobs
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
    MachineTypeSelector types = new MachineTypeSelector(context);
    this.workload = new WorkloadRate(context, types);
    this.health = new MachineHealth(context, workers, failures);
    this.listReconciler = new CloudListReconciler(context, term, workers, inventory, health);
    this.scaleIn =
        new ScaleIn(context, term, workers, ranges, inventory, health, workload, reservedCpus);
    DemandEstimator demand =
        new DemandEstimator(context, term, workers, ranges, failures, health, workload, types);
    this.scaleOut = new ScaleOut(context, term, workers, inventory, demand, workload);
  }

  /** The shard is led from now on. */
  public void activated() {
    workload.begin();
    listReconciler.begin();
  }

  /** A range has come to this shard. */
  public void arrived(TaskRange range) {
    workload.rangeAdded(range);
  }

  /** Checks all machines, returns those that are not needed and rents those that are. */
  public void tick(long nowMs) {
    failures.forgetEnded();
    listReconciler.tick(nowMs);
    FleetStatus fleet = new FleetStatus(context, workers, nowMs);
    for (Worker worker : workers.all()) {
      MachineType type = context.machineType(worker.machineType());
      if (!worker.isDraining()
          && type != null
          && !health.drainIfUseless(worker, type, fleet, nowMs)) {
        scaleIn.drainIfIdle(worker, type, fleet, nowMs);
      }
    }
    scaleIn.adjustCordons(nowMs);
    scaleIn.terminate(nowMs);
    scaleOut.tick(nowMs);
  }
}
