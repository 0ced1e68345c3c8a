package org.fieldtrestle.scheduling;

import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.worker.FreeResources;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.Worker;

/**
 * Bin packing: selects the worker for a task. It is the one on which least is left free (the
 * paper's most matched server), of those that have the task's image if any has it.
 */
final class WorkerSelector {
  private final PlacementConstraints constraints;
  private final ImageLocality locality;

  WorkerSelector(PlacementConstraints constraints, ImageLocality locality) {
    this.constraints = constraints;
    this.locality = locality;
  }

  /**
   * The free resources of the best worker for a task; null where no worker fits (this runs for
   * every placed task, so that nothing is wrapped).
   */
  FreeResources select(PlacementPass pass, WaitingTasks tasks, int offset) {
    TaskRange range = tasks.range();
    JobSpec spec = range.spec();
    boolean concurrentFetch = locality.acceptsConcurrentFetch(tasks, pass.nowMs());
    FreeResources best = null;
    boolean bestHasImage = false;
    double bestLeft = 0;
    for (FreeResources free : pass.candidates()) {
      Worker worker = free.worker();
      if (!free.fits(spec) || worker.isClaimedAheadOf(range, pass.nowMs())) {
        continue;
      }
      boolean hasImage = worker.hasImage(spec.image());
      boolean fetchIsUnwanted =
          !concurrentFetch && worker.isFetchingImage() && !worker.isClaimedBy(range, pass.nowMs());
      if (!hasImage && (bestHasImage || fetchIsUnwanted)) {
        continue;
      }
      double left = free.remainingFractionAfter(spec);
      boolean better =
          best == null
              || (hasImage && !bestHasImage)
              || (hasImage == bestHasImage
                  && isBetter(worker, left, best.worker(), bestLeft, hasImage));
      if (better && constraints.allow(range, offset, worker)) {
        best = free;
        bestHasImage = hasImage;
        bestLeft = left;
      }
    }
    return best;
  }

  /**
   * Whether a worker is better than the best one so far, both or neither having the image. Workers
   * that are not cordoned come first. One that has to fetch the image should not be fetching
   * others, which share its bandwidth. Spot machines come before ordinary ones for their price (an
   * exception to the paper), then the worker with least left free.
   */
  private static boolean isBetter(
      Worker worker, double left, Worker best, double bestLeft, boolean hasImage) {
    if (worker.isCordoned() != best.isCordoned()) {
      return best.isCordoned();
    }
    if (!hasImage && worker.isFetchingImage() != best.isFetchingImage()) {
      return best.isFetchingImage();
    }
    return worker.isSpot() != best.isSpot() ? worker.isSpot() : left < bestLeft;
  }
}
