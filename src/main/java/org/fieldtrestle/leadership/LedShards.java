package org.fieldtrestle.leadership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.state.StateKeys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The shards that this controller leads, each with the epoch of its leadership term. */
final class LedShards {
  private static final Logger LOG = LoggerFactory.getLogger(LedShards.class);

  private final Map<String, Long> epochs = new HashMap<>();
  private Membership.Listener listener;

  void setListener(Membership.Listener listener) {
    this.listener = listener;
  }

  boolean contains(String shard) {
    return epochs.containsKey(shard);
  }

  /**
   * Returns the epoch in which this controller leads the shard; {@code null} if it does not lead
   * it.
   */
  Long epochOf(String shard) {
    return epochs.get(shard);
  }

  /** Begins a leadership term and notifies the listener. */
  void begin(String shard, long epoch, boolean formerLeaderMayAct) {
    epochs.put(shard, epoch);
    LOG.atInfo()
        .addKeyValue("shard", shard)
        .addKeyValue("epoch", epoch)
        .addKeyValue("formerLeaderMayAct", formerLeaderMayAct)
        .log("leadership acquired");
    listener.leadershipBegan(shard, epoch, formerLeaderMayAct);
  }

  /** Removes a term; {@link #notifyEnded} notifies the listener separately. */
  void remove(String shard) {
    epochs.remove(shard);
  }

  void notifyEnded(String shard) {
    listener.leadershipEnded(shard);
  }

  /** Adds conditions that hold only while all terms of this controller are still current. */
  void addEpochConditions(List<KeyValueProtocol.Condition> conditions) {
    epochs.forEach(
        (shard, epoch) ->
            conditions.add(new KeyValueProtocol.Condition(StateKeys.shard(shard), epoch)));
  }
}
