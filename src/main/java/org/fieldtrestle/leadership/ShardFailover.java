package org.fieldtrestle.leadership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.state.ShardRecord;
import org.fieldtrestle.state.StateCache;
import org.fieldtrestle.state.Versioned;
import org.fieldtrestle.transport.Reactor;

/**
 * Acquires shards whose leader's lease has expired, and takes this controller's home shard back
 * from any other leader.
 */
final class ShardFailover {
  /**
   * Members try one after the other, each one later than the one before it by the lease's duration
   * divided by this number.
   */
  private static final int DELAY_PER_RANK_DIVISOR = 6;

  private final Reactor reactor;
  private final StateCache stateCache;
  private final LeadershipFence fence;
  private final LedShards ledShards;
  private final LeadershipChanges leadershipChanges;
  private final String ownLabel;
  private final long leaseMs;

  /**
   * Since when this controller has seen each shard without a live leader, in ms of the reactor's
   * clock.
   */
  private final Map<String, Long> leaderlessSinceMs = new HashMap<>();

  ShardFailover(
      Reactor reactor,
      StateCache stateCache,
      Settings settings,
      LeadershipFence fence,
      LedShards ledShards,
      LeadershipChanges leadershipChanges) {
    this.reactor = reactor;
    this.stateCache = stateCache;
    this.fence = fence;
    this.ledShards = ledShards;
    this.leadershipChanges = leadershipChanges;
    this.ownLabel = settings.label();
    this.leaseMs = settings.controllerLeaseMs();
  }

  /** Returns how many members have a lower label than this controller. */
  int rank() {
    int lower = 0;
    for (String label : stateCache.members().keySet()) {
      lower += label.compareTo(ownLabel) < 0 ? 1 : 0;
    }
    return lower;
  }

  /** Checks all shards once. */
  void check() {
    if (!fence.isOpen()) {
      leaderlessSinceMs.clear();
      return;
    }
    long delayMs = rank() * leaseMs / DELAY_PER_RANK_DIVISOR;
    for (Map.Entry<String, Versioned<ShardRecord>> entry :
        List.copyOf(stateCache.shards().entrySet())) {
      check(entry.getKey(), entry.getValue(), delayMs);
    }
  }

  private void check(String shard, Versioned<ShardRecord> current, long delayMs) {
    if (ledShards.contains(shard)) {
      leaderlessSinceMs.remove(shard);
      return;
    }
    String leader = current.record().leader();
    if (leader.equals(ownLabel)) {
      // This controller became the recorded leader by its own request, whose answer it did not
      // receive, or by a transfer. No other controller would acquire the shard.
      leadershipChanges.acquire(shard);
      return;
    }
    boolean reclaim = shard.equals(ownLabel) && leadershipChanges.mayReclaimHomeShard();
    if (stateCache.members().containsKey(leader) && !reclaim) {
      leaderlessSinceMs.remove(shard);
      return;
    }
    long sinceMs = leaderlessSinceMs.computeIfAbsent(shard, s -> reactor.nowMs());
    if (reclaim || reactor.nowMs() - sinceMs >= delayMs) {
      leadershipChanges.acquire(shard);
    }
  }
}
