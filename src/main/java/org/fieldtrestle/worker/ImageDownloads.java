package org.fieldtrestle.worker;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whether images that a worker fetches at the same time share its bandwidth: the protocol says that
 * they may. This is learned from how long images took that were fetched beside others: the small
 * image of an urgent task takes many times its time beside a large one where bandwidth is shared,
 * and no longer than by itself where it is not.
 */
public final class ImageDownloads {
  private static final Logger LOG = LoggerFactory.getLogger(ImageDownloads.class);

  /** Weight of the next observation in the average. */
  private static final double WEIGHT = 0.1;

  /** Average multiple of the time by itself from which bandwidth counts as shared. */
  private static final double SHARED_FROM = 1.6;

  /** No single observation counts for more, as a worker may hang. */
  private static final double MAX_OBSERVED = 4;

  /** How long a start command and the heartbeat that shows the task take on average, in s. */
  private final double reportingDelayS;

  private double averageMultiple = 1;

  /** Nothing is learned yet: bandwidth counts as not shared. */
  public ImageDownloads(double heartbeatIntervalS) {
    this.reportingDelayS = heartbeatIntervalS / 2;
  }

  /**
   * An image that was fetched beside others is there.
   *
   * @param tookS time from the placement of its task to the heartbeat that shows it running
   * @param aloneS how long the image takes by itself
   */
  void record(double tookS, double aloneS) {
    if (aloneS < reportingDelayS) {
      return; // the delay of reporting outweighs what is to be measured
    }
    boolean wasShared = shared();
    double multiple = Math.min((tookS - reportingDelayS) / aloneS, MAX_OBSERVED);
    averageMultiple += (multiple - averageMultiple) * WEIGHT;
    if (shared() != wasShared) {
      LOG.atInfo().addKeyValue("shared", shared()).log("sharing of image bandwidth changes");
    }
  }

  /** Whether images that a worker fetches at the same time share its bandwidth. */
  public boolean shared() {
    return averageMultiple > SHARED_FROM;
  }
}
