package org.fieldtrestle.worker;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whether images that a machine fetches at the same time share its line: the protocol says that
 * they may. Learned from how long images took that began beside others, as an urgent task's small
 * image takes many times its time beside a large one on a line that is shared, and no longer on
 * another.
 */
public final class ImageDownloads {
  private static final Logger LOG = LoggerFactory.getLogger(ImageDownloads.class);

  /** Weight of the next observation. */
  private static final double WEIGHT = 0.1;

  /** How many times as long as by itself an image takes beside another where a line is shared. */
  private static final double SHARED_FROM = 1.6;

  /** No single observation counts for more: a machine may hang. */
  private static final double AT_MOST = 4;

  /** What a start and the report of its image's coming take on average, which is no fetching. */
  private final double tellingS;

  private double stretch = 1;

  ImageDownloads(double heartbeatIntervalS) {
    this.tellingS = heartbeatIntervalS / 2;
  }

  /** An image that began beside others has come. */
  void came(double tookS, double aloneS) {
    if (aloneS < tellingS) {
      return; // the telling takes longer than what is to be told
    }
    boolean before = shared();
    stretch += (Math.min((tookS - tellingS) / aloneS, AT_MOST) - stretch) * WEIGHT;
    if (shared() != before) {
      LOG.info("images {} the line of a machine", before ? "no longer share" : "share");
    }
  }

  public boolean shared() {
    return stretch > SHARED_FROM;
  }
}
