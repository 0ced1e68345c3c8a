package org.fieldtrestle.leadership;

import java.util.ArrayList;
import java.util.List;
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
 * This controller's lease at the key-value store and its member key under it. Registering also
 * makes this controller the leader of its own shard, unless it is that already.
 */
final class ControllerLease {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerLease.class);

  /** A registration that the store did not take is retried after this part of a lease. */
  private static final int RETRY_DIVISOR = 50;

  /** After a conflict the retry waits at most this part of a lease for the newer state. */
  private static final int CONFLICT_WAIT_DIVISOR = 12;

  private enum State {
    /** A grant or a registration is under way or about to be retried. */
    REGISTERING,
    /** The member key exists under the lease, as far as is known. */
    REGISTERED
  }

  private final Reactor reactor;
  private final KeyValueClient store;
  private final StateCache stateCache;
  private final LeadershipFence fence;
  private final LedShards ledShards;
  private final LeadershipChanges leadershipChanges;
  private final String self;
  private final String boot;
  private final long leaseMs;
  private State state = State.REGISTERING;
  private long lease;

  /**
   * @param boot identifies this process among those that had the same label
   */
  ControllerLease(
      Reactor reactor,
      KeyValueClient store,
      StateCache stateCache,
      Settings settings,
      String boot,
      LeadershipFence fence,
      LedShards ledShards,
      LeadershipChanges leadershipChanges) {
    this.reactor = reactor;
    this.store = store;
    this.stateCache = stateCache;
    this.fence = fence;
    this.ledShards = ledShards;
    this.leadershipChanges = leadershipChanges;
    this.self = settings.label();
    this.boot = boot;
    this.leaseMs = settings.stateLeaseMs();
  }

  boolean isRegistered() {
    return state == State.REGISTERED;
  }

  /** Asks for a lease and registers under it, again and again until that succeeds. */
  void register() {
    state = State.REGISTERING;
    long sentAtMs = reactor.nowMs();
    store.grant(
        leaseMs,
        granted -> {
          if (granted instanceof LeaseGrant.Granted grant) {
            registerUnder(grant.lease(), sentAtMs);
          } else {
            retryLater();
          }
        });
  }

  /** Renews the lease; registers anew if it has expired. */
  void renew() {
    if (state == State.REGISTERING) {
      return;
    }
    long sentAtMs = reactor.nowMs();
    long renewed = lease;
    store.renew(
        renewed,
        renewal -> {
          if (renewed == lease && state == State.REGISTERED) {
            renewed(renewal, sentAtMs);
          }
        });
  }

  private void renewed(LeaseRenewal renewal, long sentAtMs) {
    if (renewal == LeaseRenewal.KEPT) {
      fence.leaseRenewed(sentAtMs);
    } else if (renewal == LeaseRenewal.ENDED) {
      LOG.atWarn().addKeyValue("lease", lease).log("lease expired");
      fence.leaseExpired();
      register();
    }
  }

  private void registerUnder(long granted, long sentAtMs) {
    String member = StateKeys.member(self);
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    List<KeyValueProtocol.Change> changes = new ArrayList<>();
    conditions.add(new KeyValueProtocol.Condition(member, stateCache.version(member)));
    changes.add(StateChanges.put(member, new MemberRecord(boot), granted));
    // A controller that acquired one of these shards since the lease expired waits for the workers'
    // leases that it counts from then on, and acting again under the old epoch would renew them.
    // So either all epochs are still current or nothing is registered.
    ledShards.addEpochConditions(conditions);
    boolean acquireOwn = !ledShards.contains(self);
    boolean formerLeaderMayAct = acquireOwn && leadershipChanges.formerLeaderMayAct(self);
    if (acquireOwn) {
      String own = StateKeys.shard(self);
      conditions.add(new KeyValueProtocol.Condition(own, stateCache.version(own)));
      changes.add(LeadershipChanges.putLeader(self, self));
    }
    store.commitWithPriority(
        new Transaction(conditions, changes),
        result -> {
          if (result instanceof CommitResult.Committed committed) {
            registered(granted, sentAtMs);
            if (acquireOwn && leadershipChanges.isCurrent(self, committed.revision())) {
              ledShards.begin(self, committed.revision(), formerLeaderMayAct);
            }
            stateCache.applyCommit(changes, committed.revision());
          } else if (result instanceof CommitResult.Conflict conflict) {
            retryAt(conflict.revision());
          } else {
            retryLater();
          }
        });
  }

  private void registered(long granted, long sentAtMs) {
    state = State.REGISTERED;
    lease = granted;
    fence.leaseRenewed(sentAtMs);
    LOG.atInfo().addKeyValue("member", self).addKeyValue("lease", granted).log("registered");
  }

  private void retryLater() {
    reactor.schedule(leaseMs / RETRY_DIVISOR, this::register);
  }

  /** Retries as soon as the state cache shows the revision that a condition did not hold at. */
  private void retryAt(long revision) {
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
