package org.fieldtrestle.scheduling;

import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.worker.FreeResources;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.WorkerRegistry;

/**
 * Reserves capacity for latency-sensitive jobs, so that other tasks may not take it. All shards
 * together reserve the average number of CPUs of these jobs, times the number of jobs that the
 * operators have set ({@link org.fieldtrestle.config.OperatorSettings#reservedJobs}).
 */
final class ReservedCapacity {
  /** Largest share of a shard's CPUs that is reserved. */
  private static final double MAX_RESERVED_SHARE = 0.25;

  /** Weight of the next job in the moving average of job sizes. */
  private static final double JOB_SIZE_WEIGHT = 0.2;

  /**
   * Time in worker leases for which reserved resources may be withheld from a range while none of
   * its tasks starts or ends; no longer than the shortest boot time of a machine. After that, one
   * of its tasks may take reserved resources.
   */
  private static final double MAX_WITHHELD_LEASES = 2;

  private final ControllerContext context;
  private final String shard;
  private final WorkerRegistry workers;
  private final PlacementConstraints constraints;

  /** Moving average of the CPUs of a latency-sensitive job; 0 until the first one is added. */
  private double latencySensitiveJobCpus;

  ReservedCapacity(
      ControllerContext context,
      String shard,
      WorkerRegistry workers,
      PlacementConstraints constraints) {
    this.context = context;
    this.shard = shard;
    this.workers = workers;
    this.constraints = constraints;
  }

  /** Called when a task range is added to this shard. A job is counted with its first range. */
  void rangeAdded(TaskRange range) {
    if (range.spec() != null
        && context.isLatencySensitive(range.spec())
        && range.key().index() == 0) {
      double cpus = range.spec().cpus() * range.spec().tasks();
      latencySensitiveJobCpus =
          latencySensitiveJobCpus == 0
              ? cpus
              : latencySensitiveJobCpus * (1 - JOB_SIZE_WEIGHT) + cpus * JOB_SIZE_WEIGHT;
    }
  }

  /**
   * Returns the CPUs that this shard reserves: its part, in proportion to its capacity, of what all
   * shards reserve together.
   */
  double reservedCpus() {
    double capacity = workers.capacityCpus();
    double capacityShare =
        capacity / Math.max(1, capacity + context.loads().capacityCpusOfOthers(shard));
    return Math.min(
        latencySensitiveJobCpus * context.operatorSettings().reservedJobs() * capacityShare,
        capacity * MAX_RESERVED_SHARE);
  }

  /** Whether a task of this job may not take the free resources because they are reserved. */
  boolean isWithheldFrom(JobSpec spec, PlacementPass pass) {
    // On an idle fleet nothing is withheld: a task that needs more than the unreserved resources
    // would otherwise wait forever.
    return latencySensitiveJobCpus > 0
        && !context.isLatencySensitive(spec)
        && pass.freeCpus() - spec.cpus() < pass.reservedCpus()
        && !pass.isIdle();
  }

  /**
   * Whether a task of a range may take reserved resources because the range has made no progress
   * for too long while they were free. Users see that resources are free but not that they are
   * reserved, and do not expect a task to wait for long while there are any. A range makes progress
   * as long as its tasks start or end now and then.
   */
  boolean mayTakeReserved(TaskRange range, PlacementPass pass) {
    if (!hasRoomFor(range, pass)) {
      range.markNotWithheld();
      return false;
    }
    if (range.withheldSinceMs() == TaskRange.NOT_WITHHELD) {
      range.markWithheldSince(pass.nowMs());
    }
    long maxWithheldMs =
        Math.round(
            Math.min(
                context.settings().workerLeaseMs() * MAX_WITHHELD_LEASES,
                context.shortestBootS() * 1000));
    return pass.nowMs() - range.withheldSinceMs() > maxWithheldMs;
  }

  /** Whether any worker has room for a task of the range, reserved or not. */
  private boolean hasRoomFor(TaskRange range, PlacementPass pass) {
    int offset = range.firstWaitingOffset();
    for (FreeResources free : pass.candidates()) {
      if (free.fits(range.spec()) && constraints.allow(range, offset, free.worker())) {
        return true;
      }
    }
    return false;
  }
}
