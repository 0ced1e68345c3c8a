package org.fieldtrestle.state;

/** A rate limit that allows bursts of one second's worth. Times are in ms on the same clock. */
final class TokenBucket {
  private static final double MS_PER_S = 1000;
  private static final long NEVER = Long.MIN_VALUE;

  private final double perSecond;
  private double level;
  private long filledAt = NEVER;

  TokenBucket(double perSecond) {
    this.perSecond = perSecond;
    this.level = perSecond;
  }

  private void refill(long now) {
    if (filledAt != NEVER) {
      level = Math.min(perSecond, level + (now - filledAt) * perSecond / MS_PER_S);
    }
    filledAt = now;
  }

  /**
   * Time to wait until an amount may be taken, in ms; an amount above the burst waits for a full
   * bucket.
   */
  long waitMs(long now, double amount) {
    if (amount <= 0) {
      return 0;
    }
    refill(now);
    double missing = Math.min(amount, perSecond) - level;
    return missing <= 0 ? 0 : (long) Math.ceil(missing * MS_PER_S / perSecond);
  }

  /** Takes tokens, also where there are not enough: later requests wait for longer then. */
  void take(long now, double amount) {
    refill(now);
    level -= amount;
  }
}
