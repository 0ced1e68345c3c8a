package org.fieldtrestle.scheduling;

import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.TaskId;
import org.fieldtrestle.worker.FailureTracker;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.Worker;

/** The constraints on where a task may be placed, apart from free resources. */
final class PlacementConstraints {
  private final FailureTracker failures;

  PlacementConstraints(FailureTracker failures) {
    this.failures = failures;
  }

  /**
   * Whether a task of a range may be placed on a worker. This depends on the worker's machine type
   * and zone, on whether it is a spot machine, and on earlier failures. A worker that still holds
   * an attempt of the same task is not allowed.
   */
  boolean allow(TaskRange range, int offset, Worker worker) {
    JobSpec spec = range.spec();
    return (spec.types().isEmpty() || spec.types().contains(worker.machineType()))
        && (spec.spot() || !worker.isSpot())
        && range.mayPlaceInZone(worker.zone())
        && worker.attempt(new TaskId(range.key().job(), range.record().from() + offset)) == null
        && !failures.mustAvoid(range, worker);
  }

  /**
   * Whether any job avoids a worker because of a failure, so that the worker is not equivalent to
   * other spot or ordinary machines of the same machine type and zone.
   */
  boolean isAvoidedByAnyJob(Worker worker) {
    return failures.hasFailuresOn(worker);
  }
}
