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

  /**
   * For how many lease durations this controller leaves its home shard to another leader before it
   * takes the shard back.
   */
  private static final int TRANSFER_HOLD_LEASES = 2;

  private final Reactor reactor;
  private final KeyValueClient store;
  private final StateCache stateCache;
  private final LeadershipFence fence;
  private final LedShards ledShards;
  private final FormerLeaders formerLeaders;
  private final String ownLabel;
  private final long leaseMs;

  /** Shards whose acquisition the store has not answered yet. */
  private final Set<String> pendingAcquisitions = new HashSet<>();

  /** When each shard's leadership last changed, in milliseconds of the reactor's clock. */
  private final Map<String, Long> leaderChangedAtMs = new HashMap<>();

  /** Until this time, this controller does not take its home shard back. */
  private long transferHoldUntilMs;

  LeadershipChanges(
      Reactor reactor,
      KeyValueClient store,
      StateCache stateCache,
      Settings settings,
      LeadershipFence fence,
      LedShards ledShards,
      FormerLeaders formerLeaders) {
    this.reactor = reactor;
    this.store = store;
    this.stateCache = stateCache;
    this.fence = fence;
    this.ledShards = ledShards;
    this.formerLeaders = formerLeaders;
    this.ownLabel = settings.label();
    this.leaseMs = settings.controllerLeaseMs();
  }

  /** Returns whether this controller may take its home shard back from another leader. */
  boolean mayReclaimHomeShard() {
    return reactor.nowMs() >= transferHoldUntilMs;
  }

  /**
   * Called when a key has changed: ends a term that another controller has superseded, and acquires
   * a shard that another controller has transferred to this one.
   */
  void keyChanged(StateKey key) {
    if (key instanceof StateKey.ShardKey shardKey) {
      String shard = shardKey.shard();
      leaderChangedAtMs.put(shard, reactor.nowMs());
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
    if (shard.equals(ownLabel) && fence.isOpen()) {
      // Seized although this controller's lease is valid: the workers cannot reach this controller.
      startTransferHold();
    }
    ledShards.notifyEnded(shard);
  }

  private void acquireIfTransferredHere(String shard) {
    Versioned<ShardRecord> current = stateCache.shard(shard);
    if (current != null
        && current.record().leader().equals(ownLabel)
        && !shard.equals(ownLabel)
        && !ledShards.contains(shard)
        && fence.isOpen()) {
      acquire(shard);
    }
  }

  private void startTransferHold() {
    transferHoldUntilMs = reactor.nowMs() + leaseMs * TRANSFER_HOLD_LEASES;
  }

  /**
   * Acquires a shard whose leader may still act, unless the shard's leadership has changed within
   * one lease duration.
   */
  void seize(String shard) {
    Versioned<ShardRecord> current = stateCache.shard(shard);
    if (current != null
        && !ledShards.contains(shard)
        && reactor.nowMs() - leaderChangedAtMs.getOrDefault(shard, 0L) > leaseMs) {
      acquire(shard);
    }
  }

  /**
   * Transfers a shard to another controller. This controller ends its term before it writes the
   * transfer, so that the new leader need not wait for it. If the write fails, this controller
   * acquires the shard again.
   */
  void transfer(String shard, String to) {
    Long epoch = ledShards.epochOf(shard);
    String member = StateKeys.member(to);
    if (epoch == null || stateCache.shard(shard) == null || stateCache.version(member) == 0) {
      return;
    }
    ledShards.remove(shard);
    startTransferHold();
    ledShards.notifyEnded(shard);
    store.commitWithPriority(
        new Transaction(
            List.of(
                new KeyValueProtocol.Condition(StateKeys.shard(shard), epoch),
                new KeyValueProtocol.Condition(member, stateCache.version(member))),
            List.of(formerLeaders.planTransfer(shard, to))),
        result ->
            LOG.atInfo()
                .addKeyValue("shard", shard)
                .addKeyValue("epoch", epoch)
                .addKeyValue("to", to)
                .addKeyValue("result", result)
                .log("leadership transfer answered"));
  }

  /** Acquires a shard, whose record is known, unless its key changes before the commit. */
  void acquire(String shard) {
    if (!pendingAcquisitions.add(shard)) {
      return;
    }
    ShardAcquisition acquisition = formerLeaders.planAcquisition(shard);
    String member = StateKeys.member(ownLabel);
    long registration = stateCache.version(member);
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>(acquisition.conditions());
    conditions.add(new KeyValueProtocol.Condition(member, registration));
    List<KeyValueProtocol.Change> changes = List.of(acquisition.change());
    LOG.atWarn()
        .addKeyValue("shard", shard)
        .addKeyValue("from", stateCache.shard(shard).record().leader())
        .addKeyValue("version", stateCache.version(StateKeys.shard(shard)))
        .addKeyValue("formerLeaderMayAct", acquisition.formerLeaderMayAct())
        .log("acquiring leadership");
    store.commitWithPriority(
        new Transaction(conditions, changes),
        result -> {
          pendingAcquisitions.remove(shard);
          if (result instanceof CommitResult.Committed committed) {
            if (stateCache.version(member) == registration && fence.hasLease()) {
              begin(acquisition, committed.revision());
            }
            stateCache.applyCommit(changes, committed.revision());
          }
        });
  }

  /**
   * Begins the term of an acquisition that was committed, unless it is known to be superseded. The
   * caller makes sure that this controller's registration is the one under which the acquisition
   * was sent: a later registration succeeds only if all terms that had begun were current, which
   * says nothing about a term that begins afterwards.
   */
  void begin(ShardAcquisition acquisition, long epoch) {
    if (isCurrent(acquisition.shard(), epoch)) {
      ledShards.begin(acquisition.shard(), epoch, acquisition.formerLeaderMayAct());
    }
  }

  /**
   * Returns whether this controller knows of no change of the shard's leadership after the given
   * revision. When the store answers late, the state cache may already show that another controller
   * has acquired the shard.
   */
  private boolean isCurrent(String shard, long revision) {
    return stateCache.version(StateKeys.shard(shard)) <= revision;
  }
}
