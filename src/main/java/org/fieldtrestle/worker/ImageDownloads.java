package org.fieldtrestle.worker;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Learns whether images that a worker fetches at the same time share its bandwidth, which the
 * protocol allows. The evidence is how long images take that are fetched concurrently. If bandwidth
 * is shared, the small image of an urgent task takes many times as long beside a large image as it
 * does alone; otherwise it takes no longer.
 */
public final class ImageDownloads {
  private static final Logger LOG = LoggerFactory.getLogger(ImageDownloads.class);

  /** Weight of a new observation in the moving average. */
  private static final double OBSERVATION_WEIGHT = 0.1;

  /**
   * Bandwidth counts as shared if images take, on average, more than this multiple of the time that
   * they take alone.
   */
  private static final double SHARED_ABOVE_MULTIPLE = 1.6;

  /** Upper limit of a single observation, because a worker may hang. */
  private static final double MAX_OBSERVED_MULTIPLE = 4;

  /**
   * Average delay of the start command and of the heartbeat that reports the task, both together,
   * in seconds.
   */
  private final double reportingDelayS;

  private double averageMultiple = 1;

  /** Creates an estimate without observations, by which bandwidth is not shared. */
  public ImageDownloads(double heartbeatIntervalS) {
    this.reportingDelayS = heartbeatIntervalS / 2;
  }

  /**
   * Records that an image was fetched concurrently with others.
   *
   * @param tookS time from the placement of the task to the heartbeat that reports it as running,
   *     in seconds
   * @param uncontendedS how long the image takes if it is fetched alone, in seconds
   */
  void record(double tookS, double uncontendedS) {
    if (uncontendedS < reportingDelayS) {
      return; // the reporting delay would dominate the measurement
    }
    boolean wasShared = isBandwidthShared();
    double multiple = Math.min((tookS - reportingDelayS) / uncontendedS, MAX_OBSERVED_MULTIPLE);
    averageMultiple += (multiple - averageMultiple) * OBSERVATION_WEIGHT;
    if (isBandwidthShared() != wasShared) {
      LOG.atInfo()
          .addKeyValue("shared", isBandwidthShared())
          .log("sharing of image bandwidth changes");
    }
  }

  /** Whether images that a worker fetches at the same time share its bandwidth. */
  public boolean isBandwidthShared() {
    return averageMultiple > SHARED_ABOVE_MULTIPLE;
  }
}
