package org.fieldtrestle.leadership;

import org.fieldtrestle.config.Settings;
import org.fieldtrestle.state.KeyValueClient;
import org.fieldtrestle.state.StateCache;
import org.fieldtrestle.transport.Reactor;

/**
 * This controller as a member of the cluster: its lease, and the shards that it leads. A shard's
 * epoch is the version of its key in the key-value store: every change of leadership raises it, and
 * every write of a shard's leader depends on it.
 */
public final class Membership {
  /** The lease is renewed, and shards are looked through, this often in a lease. */
  private static final int CHECKS_PER_LEASE = 12;

  /** Notified when this controller's leadership of a shard begins or ends. */
  public interface Listener {
    /**
     * A leadership term begins.
     *
     * @param formerLeaderMayAct the former leader may not know yet that its term has ended
     */
    void began(String shard, long epoch, boolean formerLeaderMayAct);

    /** The leadership term of a shard has ended. */
    void ended(String shard);
  }

  private final Reactor reactor;
  private final StateCache stateCache;
  private final String self;
  private final long leaseMs;
  private final LeadershipFence fence;
  private final LedShards ledShards;
  private final LeadershipChanges leadershipChanges;
  private final ControllerLease controllerLease;
  private final ShardFailover failover;

  /**
   * @param boot identifies this process among those that had the same label
   */
  public Membership(
      Reactor reactor,
      KeyValueClient store,
      StateCache stateCache,
      Settings settings,
      String boot) {
    this.reactor = reactor;
    this.stateCache = stateCache;
    this.self = settings.label();
    this.leaseMs = settings.controllerLeaseMs();
    this.fence = new LeadershipFence(reactor, stateCache, leaseMs);
    this.ledShards = new LedShards();
    this.leadershipChanges =
        new LeadershipChanges(reactor, store, stateCache, settings, fence, ledShards);
    this.controllerLease =
        new ControllerLease(
            reactor, store, stateCache, settings, boot, fence, ledShards, leadershipChanges);
    this.failover =
        new ShardFailover(reactor, stateCache, settings, fence, ledShards, leadershipChanges);
  }

  /** Begins to register and to acquire shards; called once, when the state cache is ready. */
  public void start(Listener listener) {
    ledShards.setListener(listener);
    stateCache.addKeyListener(leadershipChanges::keyChanged);
    controllerLease.register();
    scheduleCheck();
  }

  private void scheduleCheck() {
    reactor.schedule(leaseMs / CHECKS_PER_LEASE, this::check);
  }

  private void check() {
    controllerLease.renew();
    failover.check();
    scheduleCheck();
  }

  /** Whether this controller may act as the leader of its shards now. */
  public boolean mayAct() {
    return fence.isOpen();
  }

  /** The bound on acting without an answer of the key-value store. */
  public LeadershipFence fence() {
    return fence;
  }

  /** This controller's label. */
  public String self() {
    return self;
  }

  /** Whether this is the registered member with the lowest label, which does cluster-wide work. */
  public boolean isFirst() {
    return controllerLease.isRegistered() && failover.rank() == 0;
  }

  /** Acquires a shard whose leader may still act, unless it has changed hands within a lease. */
  public void seizeLeadership(String shard) {
    leadershipChanges.seize(shard);
  }

  /** Ends the term of a shard that this controller leads, and makes another member its leader. */
  public void transferLeadership(String shard, String to) {
    leadershipChanges.transfer(shard, to);
  }
}
