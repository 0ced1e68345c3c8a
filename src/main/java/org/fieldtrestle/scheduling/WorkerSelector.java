package org.fieldtrestle.scheduling;

import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.worker.FreeResources;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.Worker;

/**
 * Selects the worker for a task by bin packing. The best worker is the one on which the task leaves
 * the least free resources (the most matched server of the Falcon paper). If any suitable worker
 * has the task's image, only workers that have it are considered.
 */
final class WorkerSelector {
  private final PlacementConstraints constraints;
  private final ImageLocality imageLocality;

  WorkerSelector(PlacementConstraints constraints, ImageLocality imageLocality) {
    this.constraints = constraints;
    this.imageLocality = imageLocality;
  }

  /**
   * Returns the free resources of the best worker for a task, or {@code null} if no worker fits.
   * The result is not wrapped in an {@code Optional}, as this method runs for every task that is
   * placed.
   */
  FreeResources select(PlacementPass pass, WaitingTasks tasks, int offset) {
    TaskRange range = tasks.range();
    JobSpec spec = range.spec();
    boolean mayFetchConcurrently = imageLocality.mayFetchConcurrently(tasks, pass.nowMs());
    FreeResources best = null;
    boolean bestHasImage = false;
    double bestLeftFree = 0;
    for (FreeResources free : pass.candidates()) {
      Worker worker = free.worker();
      if (!free.fits(spec) || worker.isClaimedAheadOf(range, pass.nowMs())) {
        continue;
      }
      boolean hasImage = worker.hasImage(spec.image());
      boolean mustNotFetch =
          !mayFetchConcurrently
              && worker.isFetchingImage()
              && !worker.isClaimedBy(range, pass.nowMs());
      if (!hasImage && (bestHasImage || mustNotFetch)) {
        continue;
      }
      double leftFree = free.remainingFractionAfter(spec);
      boolean better =
          best == null
              || (hasImage && !bestHasImage)
              || (hasImage == bestHasImage
                  && isBetter(worker, leftFree, best.worker(), bestLeftFree, hasImage));
      if (better && constraints.allow(range, offset, worker)) {
        best = free;
        bestHasImage = hasImage;
        bestLeftFree = leftFree;
      }
    }
    return best;
  }

  /**
   * Whether a worker is better than the best one so far, where either both have the image or
   * neither has it. A worker that is not cordoned is better than a cordoned one. If the image has
   * to be fetched, a worker that is not fetching another image is better, as concurrent fetches
   * share its bandwidth. After that, a spot machine is better than an ordinary one because of its
   * price (a deviation from the paper), and finally the worker with the least resources left free
   * is better.
   */
  private static boolean isBetter(
      Worker worker, double leftFree, Worker best, double bestLeftFree, boolean hasImage) {
    if (worker.isCordoned() != best.isCordoned()) {
      return best.isCordoned();
    }
    if (!hasImage && worker.isFetchingImage() != best.isFetchingImage()) {
      return best.isFetchingImage();
    }
    return worker.isSpot() != best.isSpot() ? worker.isSpot() : leftFree < bestLeftFree;
  }
}
