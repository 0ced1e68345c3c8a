package org.fieldtrestle.simulation;

/** A limit on what may be done each second, which allows bursts of one second's worth. */
final class RateLimit {
  private final double perSecond;
  private double level;
  private long filledAt;

  RateLimit(double perSecond) {
    this.perSecond = perSecond;
    this.level = perSecond;
  }

  /** Whether so much may be done now; if so, it counts as done. */
  boolean allows(long now, double amount) {
    level = Math.min(perSecond, level + (now - filledAt) * perSecond / 1000);
    filledAt = now;
    if (level < amount) {
      return false;
    }
    level -= amount;
    return true;
  }
}
