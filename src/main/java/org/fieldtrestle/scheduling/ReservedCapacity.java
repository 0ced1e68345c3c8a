package org.fieldtrestle.scheduling;

import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.JobSpec;
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

  private final ControllerContext context;
  private final String shard;
  private final WorkerRegistry workers;

  /** Moving average of the CPUs of a latency-sensitive job; 0 until the first one is added. */
  private double latencySensitiveJobCpus;

  ReservedCapacity(ControllerContext context, String shard, WorkerRegistry workers) {
    this.context = context;
    this.shard = shard;
    this.workers = workers;
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
}
