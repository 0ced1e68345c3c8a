package org.fieldtrestle.state;

import java.util.Map;

/**
 * A team's quota as it is split over the shards.
 *
 * @param shares what each shard may use, by shard
 */
public record QuotaRecord(Map<String, QuotaAmount> shares) {

  /** What a shard may use; nothing where the record does not name it. */
  public QuotaAmount shareOf(String shard) {
    return shares.getOrDefault(shard, QuotaAmount.NONE);
  }
}
