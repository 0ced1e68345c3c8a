package org.fieldtrestle.scheduling;

import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.worker.FreeResources;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.WorkerRegistry;

/**
 * Capacity that is kept free of other tasks for latency-sensitive jobs: as many CPUs as one of
 * these jobs usually takes, over all shards together.
 */
final class ReservedCapacity {
  /** The largest share of a shard's CPUs that is reserved. */
  private static final double MAX_SHARE = 0.25;

  /** Weight of the next job in the moving average of job sizes. */
  private static final double JOB_SIZE_WEIGHT = 0.2;

  /**
   * Worker leases for which a range may wait, none of its tasks starting or ending, beside free
   * resources that are reserved. After that one of its tasks may take reserved resources.
   */
  private static final double YIELDS_AFTER_LEASES = 2;

  private final ControllerContext context;
  private final String shard;
  private final WorkerRegistry workers;
  private final PlacementConstraints constraints;

  /** Moving average of the CPUs of a latency-sensitive job; 0 until there was one. */
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

  /** A range has come to this shard. A job is counted with its first range. */
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

  /** CPUs that this shard reserves: its part by capacity of what all shards reserve together. */
  double cpus() {
    double capacity = workers.capacityCpus();
    double part = capacity / Math.max(1, capacity + context.loads().capacityOfOthers(shard));
    return Math.min(
        latencySensitiveJobCpus * context.operatorSettings().reserve() * part,
        capacity * MAX_SHARE);
  }

  /** Whether the free resources are reserved, so that a task of this job may not take them. */
  boolean isWithheldFrom(JobSpec spec, PlacementPass pass) {
    // On an idle fleet nothing is withheld: a task larger than what is not reserved would wait
    // for ever.
    return latencySensitiveJobCpus > 0
        && !context.isLatencySensitive(spec)
        && pass.freeCpus() - spec.cpus() < pass.reservedCpus()
        && !pass.isIdle();
  }

  /**
   * Whether a task of a range may take reserved resources, as the range has made no progress for
   * too long beside them. Users see free resources, whatever they are reserved for, and expect
   * nothing to wait beside them for long. A range whose tasks start or end now and then does make
   * progress.
   */
  boolean yieldsTo(TaskRange range, PlacementPass pass) {
    if (!hasRoomFor(range, pass)) {
      range.markNotWithheld();
      return false;
    }
    if (range.withheldSinceMs() == TaskRange.NOT_WITHHELD) {
      range.markWithheldSince(pass.nowMs());
    }
    long yieldAfterMs =
        Math.round(
            Math.min(
                context.settings().workerLeaseMs() * YIELDS_AFTER_LEASES,
                context.shortestBootS() * 1000));
    return pass.nowMs() - range.withheldSinceMs() > yieldAfterMs;
  }

  /** Whether some worker has room for a task of the range, reserved or not. */
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
