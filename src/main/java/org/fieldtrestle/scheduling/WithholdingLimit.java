package org.fieldtrestle.scheduling;

import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.worker.FreeResources;
import org.fieldtrestle.worker.TaskRange;

/**
 * Limits for how long free resources may be withheld from a range, because they are reserved for
 * other tasks or because its tasks wait for a worker that has their image. Users see that resources
 * are free but not why they are withheld, and do not expect a task to wait for long while there are
 * any. A range makes progress as long as its tasks start or end now and then.
 */
final class WithholdingLimit {
  /**
   * Time in worker leases for which free resources may be withheld from a range while none of its
   * tasks starts or ends; no longer than the shortest boot time of a machine. After that, one of
   * its tasks may take them.
   */
  private static final double MAX_WITHHELD_LEASES = 2;

  private final ControllerContext context;
  private final PlacementConstraints constraints;

  WithholdingLimit(ControllerContext context, PlacementConstraints constraints) {
    this.context = context;
    this.constraints = constraints;
  }

  /**
   * Called when a pass withholds free resources from a range; returns whether a task of the range
   * may take them all the same, because they have been withheld for too long.
   */
  boolean isReached(TaskRange range, PlacementPass pass) {
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

  /** Called when a pass has found no worker for a task of the range. */
  void noWorkerFound(TaskRange range, PlacementPass pass) {
    if (range.withheldSinceMs() != TaskRange.NOT_WITHHELD && !hasRoomFor(range, pass)) {
      range.markNotWithheld();
    }
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
