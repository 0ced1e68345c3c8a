package org.fieldtrestle.leadership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.state.CommitResult;
import org.fieldtrestle.state.KeyValueClient;
import org.fieldtrestle.state.LeaseGrant;
import org.fieldtrestle.state.LeaseRenewal;
import org.fieldtrestle.state.MemberRecord;
import org.fieldtrestle.state.StateCache;
import org.fieldtrestle.state.StateChanges;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.state.Transaction;
import org.fieldtrestle.transport.Reactor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds this controller's lease at the key-value store, and the member key that the controller
 * writes under the lease. Registering also makes this controller the leader of its home shard,
 * unless it leads that shard already.
 */
final class ControllerLease {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerLease.class);

  /** A registration that failed is retried after the lease's duration divided by this number. */
  private static final int RETRY_DIVISOR = 50;

  /**
   * After a conflict, the retry waits for the newer state at most for the lease's duration divided
   * by this number.
   */
  private static final int CONFLICT_WAIT_DIVISOR = 12;

  private enum State {
    /** A grant or a registration is in progress or is about to be retried. */
    REGISTERING,
    /** The member key exists under the lease, as far as this controller knows. */
    REGISTERED
  }

  private final Reactor reactor;
  private final KeyValueClient store;
  private final StateCache stateCache;
  private final LeadershipFence fence;
  private final LedShards ledShards;
  private final LeadershipChanges leadershipChanges;
  private final FormerLeaders formerLeaders;
  private final String ownLabel;
  private final String bootId;
  private final long leaseMs;
  private State state = State.REGISTERING;
  private long leaseId;

  /** Whether a write of {@link #acknowledgeEndedTerms} has not been answered yet. */
  private boolean acknowledging;

  /**
   * @param bootId distinguishes this process from earlier ones that had the same label
   */
  ControllerLease(
      Reactor reactor,
      KeyValueClient store,
      StateCache stateCache,
      Settings settings,
      String bootId,
      LeadershipFence fence,
      LedShards ledShards,
      LeadershipChanges leadershipChanges,
      FormerLeaders formerLeaders) {
    this.reactor = reactor;
    this.store = store;
    this.stateCache = stateCache;
    this.fence = fence;
    this.ledShards = ledShards;
    this.leadershipChanges = leadershipChanges;
    this.formerLeaders = formerLeaders;
    this.ownLabel = settings.label();
    this.bootId = bootId;
    this.leaseMs = settings.controllerLeaseMs();
  }

  boolean isRegistered() {
    return state == State.REGISTERED;
  }

  /** Requests a lease and registers under it; retries until the registration succeeds. */
  void register() {
    state = State.REGISTERING;
    long sentAtMs = reactor.nowMs();
    store.requestLease(
        leaseMs,
        granted -> {
          if (granted instanceof LeaseGrant.Granted grant) {
            registerUnder(grant.leaseId(), sentAtMs);
          } else {
            retryLater();
          }
        });
  }

  /** Renews the lease, or registers again if it has expired. */
  void renew() {
    if (state == State.REGISTERING) {
      return;
    }
    long sentAtMs = reactor.nowMs();
    long renewedLeaseId = leaseId;
    store.renewLease(
        renewedLeaseId,
        renewal -> {
          if (renewedLeaseId == leaseId && state == State.REGISTERED) {
            renewalAnswered(renewal, sentAtMs);
          }
        });
  }

  private void renewalAnswered(LeaseRenewal renewal, long sentAtMs) {
    if (renewal == LeaseRenewal.RENEWED) {
      fence.leaseRenewed(sentAtMs);
    } else if (renewal == LeaseRenewal.EXPIRED) {
      LOG.atWarn().addKeyValue("lease", leaseId).log("lease expired");
      fence.leaseExpired();
      register();
    }
  }

  private void registerUnder(long newLeaseId, long sentAtMs) {
    String member = StateKeys.member(ownLabel);
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    List<KeyValueProtocol.Change> changes = new ArrayList<>();
    conditions.add(new KeyValueProtocol.Condition(member, stateCache.version(member)));
    changes.add(putMember(newLeaseId));
    // Another controller may have acquired one of this controller's shards since the lease
    // expired. The new leader waits until the workers' leases have run out, counted from its
    // acquisition. This controller would renew the workers' leases if it acted again under the old
    // epoch. Therefore the registration succeeds only if all epochs are still current.
    ledShards.addEpochConditions(conditions);
    Optional<ShardAcquisition> homeShard =
        ledShards.contains(ownLabel)
            ? Optional.empty()
            : Optional.of(formerLeaders.planAcquisition(ownLabel));
    homeShard.ifPresent(
        acquisition -> {
          conditions.addAll(acquisition.conditions());
          changes.add(acquisition.change());
        });
    store.commitWithPriority(
        new Transaction(conditions, changes),
        result -> {
          if (result instanceof CommitResult.Committed committed) {
            registered(newLeaseId, sentAtMs);
            homeShard.ifPresent(
                acquisition -> leadershipChanges.begin(acquisition, committed.revision()));
            stateCache.applyCommit(changes, committed.revision());
          } else if (result instanceof CommitResult.Conflict conflict) {
            retryOnceApplied(conflict.revision());
          } else {
            retryLater();
          }
        });
  }

  private KeyValueProtocol.Change putMember(long memberLeaseId) {
    MemberRecord record = new MemberRecord(bootId, stateCache.appliedRevision());
    return StateChanges.put(StateKeys.member(ownLabel), record, memberLeaseId);
  }

  /**
   * Stores up to which revision this controller follows the store, if a shard's record names it as
   * a former leader that may still act. A controller that acquires the shard after that need not
   * wait for this one. If the write fails, a later call of this method repeats it.
   */
  void acknowledgeEndedTerms() {
    if (state != State.REGISTERED || acknowledging || !formerLeaders.namesThisController()) {
      return;
    }
    acknowledging = true;
    String member = StateKeys.member(ownLabel);
    List<KeyValueProtocol.Change> changes = List.of(putMember(leaseId));
    store.commitWithPriority(
        new Transaction(
            List.of(new KeyValueProtocol.Condition(member, stateCache.version(member))), changes),
        result -> {
          acknowledging = false;
          if (result instanceof CommitResult.Committed committed) {
            stateCache.applyCommit(changes, committed.revision());
          }
        });
  }

  private void registered(long newLeaseId, long sentAtMs) {
    state = State.REGISTERED;
    leaseId = newLeaseId;
    fence.leaseRenewed(sentAtMs);
    LOG.atInfo().addKeyValue("member", ownLabel).addKeyValue("lease", newLeaseId).log("registered");
  }

  private void retryLater() {
    reactor.schedule(leaseMs / RETRY_DIVISOR, this::register);
  }

  /**
   * Retries as soon as the state cache has applied the revision at which a condition failed, or
   * later if that takes too long or the revision is unknown.
   */
  private void retryOnceApplied(long revision) {
    if (revision < 0) {
      retryLater();
      return;
    }
    stateCache.awaitRevision(
        revision,
        leaseMs / CONFLICT_WAIT_DIVISOR,
        seen -> reactor.schedule(seen ? 0 : leaseMs / RETRY_DIVISOR, this::register));
  }
}
