package org.fieldtrestle.state;

/** What one shard may use of a team's quota. */
public record QuotaShare(double cpus, double gpus) {
  /** The share of a shard that the record does not name. */
  public static final QuotaShare NONE = new QuotaShare(0, 0);
}
