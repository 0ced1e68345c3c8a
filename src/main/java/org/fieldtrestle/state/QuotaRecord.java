package org.fieldtrestle.state;

import java.util.Map;

/**
 * A team's quota, split into quota shares of the shards.
 *
 * @param shares the amount that each shard may use, by shard
 */
public record QuotaRecord(Map<String, QuotaAmount> shares) {

  /** Returns the amount that a shard may use; nothing if the record does not name the shard. */
  public QuotaAmount shareOf(String shard) {
    return shares.getOrDefault(shard, QuotaAmount.NONE);
  }
}
