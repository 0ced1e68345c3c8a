package org.fieldtrestle.leadership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.state.CommitResult;
import org.fieldtrestle.state.KeyValueClient;
import org.fieldtrestle.state.ShardRecord;
import org.fieldtrestle.state.StateCache;
import org.fieldtrestle.state.StateChanges;
import org.fieldtrestle.state.StateKey;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.state.Transaction;
import org.fieldtrestle.state.Versioned;
import org.fieldtrestle.transport.Reactor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Acquires, seizes and transfers the leadership of shards by compare-and-swap on their keys. */
final class LeadershipChanges {
  private static final Logger LOG = LoggerFactory.getLogger(LeadershipChanges.class);

  /** Leases for which this controller leaves its own shard to the one it was transferred to. */
  private static final int TRANSFER_HOLD_LEASES = 2;

  private final Reactor reactor;
  private final KeyValueClient store;
  private final StateCache stateCache;
  private final LeadershipFence fence;
  private final LedShards ledShards;
  private final String self;
  private final long leaseMs;

  /** Shards with an acquisition that the store has not answered yet. */
  private final Set<String> acquiring = new HashSet<>();

  /** The reactor's time of the last change of each shard's leadership, in ms. */
  private final Map<String, Long> changedAtMs = new HashMap<>();

  /** Until this time this controller does not take its own shard back. */
  private long transferHoldUntilMs;

  LeadershipChanges(
      Reactor reactor,
      KeyValueClient store,
      StateCache stateCache,
      Settings settings,
      LeadershipFence fence,
      LedShards ledShards) {
    this.reactor = reactor;
    this.store = store;
    this.stateCache = stateCache;
    this.fence = fence;
    this.ledShards = ledShards;
    this.self = settings.label();
    this.leaseMs = settings.stateLeaseMs();
  }

  /** Whether this controller may take its own shard back from another leader. */
  boolean mayReclaimOwnShard() {
    return reactor.nowMs() >= transferHoldUntilMs;
  }

  /** Whether the shard's recorded leader is another controller whose lease still exists. */
  boolean formerLeaderMayAct(String shard) {
    Versioned<ShardRecord> current = stateCache.shard(shard);
    return current != null
        && !current.record().leader().equals(self)
        && stateCache.members().containsKey(current.record().leader());
  }

  /** Follows a change of a key: ends terms that another controller has superseded. */
  void keyChanged(StateKey key) {
    if (key instanceof StateKey.ShardKey shardKey) {
      String shard = shardKey.shard();
      changedAtMs.put(shard, reactor.nowMs());
      endIfSuperseded(shard);
      acquireIfTransferredHere(shard);
    }
  }

  private void endIfSuperseded(String shard) {
    Long epoch = ledShards.epochOf(shard);
    if (epoch == null || stateCache.version(StateKeys.shard(shard)) == epoch) {
      return;
    }
    LOG.atWarn()
        .addKeyValue("shard", shard)
        .addKeyValue("epoch", epoch)
        .log("leadership superseded");
    ledShards.remove(shard);
    if (shard.equals(self) && fence.isOpen()) {
      // Seized although this controller's lease is valid: its workers do not reach it.
      holdAfterTransfer();
    }
    ledShards.notifyEnded(shard);
  }

  private void acquireIfTransferredHere(String shard) {
    Versioned<ShardRecord> current = stateCache.shard(shard);
    if (current != null
        && current.record().leader().equals(self)
        && !shard.equals(self)
        && !ledShards.contains(shard)
        && fence.isOpen()) {
      acquire(shard, self, current.version());
    }
  }

  private void holdAfterTransfer() {
    transferHoldUntilMs = reactor.nowMs() + leaseMs * TRANSFER_HOLD_LEASES;
  }

  /** Acquires a shard whose leader may still act, unless it has changed hands within a lease. */
  void seize(String shard) {
    Versioned<ShardRecord> current = stateCache.shard(shard);
    if (current != null
        && !ledShards.contains(shard)
        && reactor.nowMs() - changedAtMs.getOrDefault(shard, 0L) > leaseMs) {
      acquire(shard, current.record().leader(), current.version());
    }
  }

  /**
   * Transfers a shard to another controller. The term ends here before the transfer is written, so
   * that the new leader need not wait for this one. If the write fails, the shard is taken again.
   */
  void transfer(String shard, String to) {
    Long epoch = ledShards.epochOf(shard);
    String member = StateKeys.member(to);
    if (epoch == null || stateCache.version(member) == 0) {
      return;
    }
    ledShards.remove(shard);
    holdAfterTransfer();
    ledShards.notifyEnded(shard);
    store.commitWithPriority(
        new Transaction(
            List.of(
                new KeyValueProtocol.Condition(StateKeys.shard(shard), epoch),
                new KeyValueProtocol.Condition(member, stateCache.version(member))),
            List.of(putLeader(shard, to))),
        result ->
            LOG.atInfo()
                .addKeyValue("shard", shard)
                .addKeyValue("epoch", epoch)
                .addKeyValue("to", to)
                .addKeyValue("result", result)
                .log("leadership transfer answered"));
  }

  /**
   * Acquires a shard, if it is still at the given version.
   *
   * @param leader the leader that the shard's key names now
   */
  void acquire(String shard, String leader, long version) {
    if (!acquiring.add(shard)) {
      return;
    }
    boolean formerLeaderMayAct = formerLeaderMayAct(shard);
    String member = StateKeys.member(self);
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    conditions.add(new KeyValueProtocol.Condition(StateKeys.shard(shard), version));
    conditions.add(new KeyValueProtocol.Condition(member, stateCache.version(member)));
    if (!formerLeaderMayAct && !leader.equals(self)) {
      conditions.add(new KeyValueProtocol.Condition(StateKeys.member(leader), 0));
    }
    List<KeyValueProtocol.Change> changes = List.of(putLeader(shard, self));
    LOG.atWarn()
        .addKeyValue("shard", shard)
        .addKeyValue("from", leader)
        .addKeyValue("version", version)
        .log("acquiring leadership");
    store.commitWithPriority(
        new Transaction(conditions, changes),
        result -> {
          acquiring.remove(shard);
          if (result instanceof CommitResult.Committed committed
              && isCurrent(shard, committed.revision())) {
            ledShards.begin(shard, committed.revision(), formerLeaderMayAct);
            stateCache.applyCommit(changes, committed.revision());
          }
        });
  }

  /**
   * Whether no later change of the shard's leadership than this revision is known: when the store
   * answers late, the state cache may already show that another controller has taken the shard.
   */
  boolean isCurrent(String shard, long revision) {
    return stateCache.version(StateKeys.shard(shard)) <= revision;
  }

  /** The change that makes a controller the leader of a shard. */
  static KeyValueProtocol.Change putLeader(String shard, String leader) {
    return StateChanges.put(StateKeys.shard(shard), new ShardRecord(leader));
  }
}
