package org.fieldtrestle.state;

import java.util.Map;
import java.util.Set;

/**
 * A team's quota, split into quota shares of the shards.
 *
 * @param shares the amount that each shard may use, by shard
 * @param requesters the shards that have room for a task which their share does not allow; the
 *     other shards give up what they do not use
 */
public record QuotaRecord(Map<String, QuotaAmount> shares, Set<String> requesters) {
  /** A quota of which no shard has a share. */
  public static final QuotaRecord EMPTY = new QuotaRecord(Map.of(), Set.of());

  /** Returns the amount that a shard may use; nothing if the record does not name the shard. */
  public QuotaAmount shareOf(String shard) {
    return shares.getOrDefault(shard, QuotaAmount.NONE);
  }

  /** Returns the sum of the shares of all other shards. */
  public QuotaAmount sharesOfOthers(String shard) {
    QuotaAmount sum = QuotaAmount.NONE;
    for (Map.Entry<String, QuotaAmount> entry : shares.entrySet()) {
      if (!entry.getKey().equals(shard)) {
        sum = sum.plus(entry.getValue());
      }
    }
    return sum;
  }

  /** Whether a shard requests what other shards do not use. */
  public boolean isRequestedBy(String shard) {
    return requesters.contains(shard);
  }

  /** Whether any shard but the given one requests what other shards do not use. */
  public boolean isRequestedByOthers(String shard) {
    return requesters.size() > (isRequestedBy(shard) ? 1 : 0);
  }
}
