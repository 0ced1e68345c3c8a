package org.fieldtrestle.shard;

import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.scaling.Autoscaler;
import org.fieldtrestle.scaling.MachineInventory;
import org.fieldtrestle.scheduling.QuotaShares;
import org.fieldtrestle.scheduling.RangeReassignment;
import org.fieldtrestle.scheduling.SelectivePreemption;
import org.fieldtrestle.scheduling.TaskPlacer;
import org.fieldtrestle.worker.DirectCommands;
import org.fieldtrestle.worker.FailureTracker;
import org.fieldtrestle.worker.HeartbeatProcessor;
import org.fieldtrestle.worker.ImageDownloads;
import org.fieldtrestle.worker.InventoryFollower;
import org.fieldtrestle.worker.LeadershipTerm;
import org.fieldtrestle.worker.LeaseMonitor;
import org.fieldtrestle.worker.RangeProgressWriter;
import org.fieldtrestle.worker.Reconciler;
import org.fieldtrestle.worker.ShardEvents;
import org.fieldtrestle.worker.TaskOutcomes;
import org.fieldtrestle.worker.TaskRanges;
import org.fieldtrestle.worker.WorkerCommands;
import org.fieldtrestle.worker.WorkerRegistry;

/** The components of one shard for one leadership term, wired together. */
final class ShardComponents {
  final WorkerRegistry workers;
  final WorkerCommands commands;
  final DirectCommands directCommands;
  final TaskRanges ranges;
  final InventoryFollower inventoryFollower;
  final LeaseMonitor leaseMonitor;
  final HeartbeatProcessor heartbeatProcessor;
  final MachineInventory inventory;
  final QuotaShares quotaShares;
  final RangeReassignment rangeReassignment;
  final TaskPlacer placer;
  final Autoscaler autoscaler;

  /**
   * Creates the components. They call {@code events} on the reactor's thread, and only after this
   * constructor has returned.
   */
  ShardComponents(ControllerContext context, LeadershipTerm term, ShardEvents events) {
    workers = new WorkerRegistry(context, term);
    FailureTracker failures = new FailureTracker(context, workers);
    RangeProgressWriter progress = new RangeProgressWriter(context, term, workers, events);
    TaskOutcomes outcomes = new TaskOutcomes(context, workers, failures, progress, events);
    commands = new WorkerCommands(context, term, workers, outcomes);
    ranges = new TaskRanges(context, term, workers, commands, progress, outcomes, events);
    inventoryFollower = new InventoryFollower(context, term, workers, outcomes, commands, events);
    leaseMonitor = new LeaseMonitor(term, workers, outcomes);
    ImageDownloads downloads =
        new ImageDownloads(context.settings().workerTiming().heartbeatIntervalS());
    Reconciler reconciler =
        new Reconciler(context, term, workers, ranges, outcomes, commands, downloads);
    heartbeatProcessor =
        new HeartbeatProcessor(context, term, workers, reconciler, outcomes, commands, events);
    directCommands = new DirectCommands(context, term, workers, commands, heartbeatProcessor);
    inventory = new MachineInventory(context, term);
    quotaShares = new QuotaShares(context, term, workers, ranges);
    rangeReassignment = new RangeReassignment(context, term, workers, ranges);
    placer =
        new TaskPlacer(
            context,
            term.shard(),
            term.policy(),
            new SelectivePreemption(context.operatorSettings(), context.random()),
            workers,
            ranges,
            quotaShares,
            failures,
            downloads,
            new AttemptPlacer(context, term, commands));
    autoscaler =
        new Autoscaler(context, term, workers, ranges, failures, inventory, placer::reservedCpus);
  }
}
