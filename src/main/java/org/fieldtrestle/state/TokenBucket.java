package org.fieldtrestle.state;

/** A rate limit that allows bursts of one second's worth. */
final class TokenBucket {
  private final double perSecond;
  private double level;
  private long filledAt = Long.MIN_VALUE;

  TokenBucket(double perSecond) {
    this.perSecond = perSecond;
    this.level = perSecond;
  }

  private void refill(long now) {
    if (filledAt != Long.MIN_VALUE) {
      level = Math.min(perSecond, level + (now - filledAt) * perSecond / 1000);
    }
    filledAt = now;
  }

  /**
   * For how long to wait until so much may be taken; an amount above the burst waits for a full
   * bucket.
   */
  long waitMs(long now, double amount) {
    if (amount <= 0) {
      return 0;
    }
    refill(now);
    double missing = Math.min(amount, perSecond) - level;
    return missing <= 0 ? 0 : (long) Math.ceil(missing * 1000 / perSecond);
  }

  /** Takes tokens, also where there are not enough: whoever waits then waits for longer. */
  void take(long now, double amount) {
    refill(now);
    level -= amount;
  }
}
