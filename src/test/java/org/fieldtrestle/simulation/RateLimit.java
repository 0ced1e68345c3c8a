package org.fieldtrestle.simulation;

/** A limit on an amount per second. Bursts of up to the amount of one second are allowed. */
final class RateLimit {
  private final double perSecond;
  private double available;
  private long updatedAtMs;

  RateLimit(double perSecond) {
    this.perSecond = perSecond;
    this.available = perSecond;
  }

  /** Uses up an amount if the limit allows it now, and returns whether it does. */
  boolean tryAcquire(long nowMs, double amount) {
    available = Math.min(perSecond, available + (nowMs - updatedAtMs) * perSecond / 1000);
    updatedAtMs = nowMs;
    if (available < amount) {
      return false;
    }
    available -= amount;
    return true;
  }
}
