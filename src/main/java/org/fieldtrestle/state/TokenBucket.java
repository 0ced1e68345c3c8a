package org.fieldtrestle.state;

/**
 * A rate limiter that allows bursts of one second's worth of tokens. All times are in milliseconds
 * of the same clock.
 */
final class TokenBucket {
  private static final double MS_PER_S = 1000;
  private static final long NEVER = Long.MIN_VALUE;

  private final double tokensPerSecond;
  private double tokens;
  private long refilledAtMs = NEVER;

  TokenBucket(double tokensPerSecond) {
    this.tokensPerSecond = tokensPerSecond;
    this.tokens = tokensPerSecond;
  }

  private void refill(long nowMs) {
    if (refilledAtMs != NEVER) {
      tokens =
          Math.min(tokensPerSecond, tokens + (nowMs - refilledAtMs) * tokensPerSecond / MS_PER_S);
    }
    refilledAtMs = nowMs;
  }

  /**
   * Returns the time until an amount may be taken, in milliseconds. An amount that is larger than
   * the bucket waits until the bucket is full.
   */
  long waitMs(long nowMs, double amount) {
    if (amount <= 0) {
      return 0;
    }
    refill(nowMs);
    double missing = Math.min(amount, tokensPerSecond) - tokens;
    return missing <= 0 ? 0 : (long) Math.ceil(missing * MS_PER_S / tokensPerSecond);
  }

  /** Takes tokens even if there are not enough; later requests then wait longer. */
  void take(long nowMs, double amount) {
    refill(nowMs);
    tokens -= amount;
  }
}
