package org.fieldtrestle.scheduling;

import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.TaskId;
import org.fieldtrestle.worker.FailureTracker;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.Worker;

/** The constraints on where a task may run, apart from free resources. */
final class PlacementConstraints {
  private final FailureTracker failures;

  PlacementConstraints(FailureTracker failures) {
    this.failures = failures;
  }

  /**
   * Whether a task of a range may be placed on a worker by machine type, spot use, zone and earlier
   * failures. A worker that still holds an attempt of the same task is not allowed.
   */
  boolean allow(TaskRange range, int offset, Worker worker) {
    JobSpec spec = range.spec();
    return (spec.types().isEmpty() || spec.types().contains(worker.machineType()))
        && (spec.spot() || !worker.isSpot())
        && range.mayPlaceInZone(worker.zone())
        && worker.attempt(new TaskId(range.key().job(), range.record().from() + offset)) == null
        && !failures.mustAvoid(range, worker);
  }

  /** Whether some job is kept from a worker by a failure, so that it differs from its kind. */
  boolean isAvoidedByAnyJob(Worker worker) {
    return failures.hasFailuresOn(worker);
  }
}
