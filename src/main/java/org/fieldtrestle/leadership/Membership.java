package org.fieldtrestle.leadership;

import org.fieldtrestle.config.Settings;
import org.fieldtrestle.state.KeyValueClient;
import org.fieldtrestle.state.StateCache;
import org.fieldtrestle.state.StateKey;
import org.fieldtrestle.transport.Reactor;

/**
 * This controller as a member of the cluster: its lease, and the shards that it leads. A shard's
 * epoch is the version of its key in the key-value store. Every change of leadership raises the
 * epoch, and every write of a shard leader succeeds only if the epoch is unchanged.
 */
public final class Membership {
  /** How often per lease duration the lease is renewed and all shards are checked. */
  private static final int CHECKS_PER_LEASE = 12;

  /** Listens for the beginning and the end of this controller's leadership of shards. */
  public interface Listener {
    /**
     * Called when this controller's leadership term of a shard has begun.
     *
     * @param formerLeaderMayAct whether the former leader may not know yet that its term has ended
     */
    void leadershipBegan(String shard, long epoch, boolean formerLeaderMayAct);

    /** Called when this controller's leadership term of a shard has ended. */
    void leadershipEnded(String shard);
  }

  private final Reactor reactor;
  private final StateCache stateCache;
  private final String ownLabel;
  private final long leaseMs;
  private final LeadershipFence fence;
  private final LedShards ledShards;
  private final LeadershipChanges leadershipChanges;
  private final ControllerLease controllerLease;
  private final ShardFailover failover;

  /**
   * @param bootId distinguishes this process from earlier ones that had the same label
   */
  public Membership(
      Reactor reactor,
      KeyValueClient store,
      StateCache stateCache,
      Settings settings,
      String bootId) {
    this.reactor = reactor;
    this.stateCache = stateCache;
    this.ownLabel = settings.label();
    this.leaseMs = settings.controllerLeaseMs();
    this.fence = new LeadershipFence(reactor, stateCache, leaseMs);
    this.ledShards = new LedShards();
    FormerLeaders formerLeaders = new FormerLeaders(stateCache, settings);
    this.leadershipChanges =
        new LeadershipChanges(
            reactor, store, stateCache, settings, fence, ledShards, formerLeaders);
    this.controllerLease =
        new ControllerLease(
            reactor,
            store,
            stateCache,
            settings,
            bootId,
            fence,
            ledShards,
            leadershipChanges,
            formerLeaders);
    this.failover =
        new ShardFailover(reactor, stateCache, settings, fence, ledShards, leadershipChanges);
  }

  /** Starts to register and to acquire shards; called once, when the state cache is ready. */
  public void start(Listener listener) {
    ledShards.setListener(listener);
    stateCache.addKeyListener(this::keyChanged);
    controllerLease.register();
    scheduleCheck();
  }

  private void keyChanged(StateKey key) {
    leadershipChanges.keyChanged(key);
    if (key instanceof StateKey.ShardKey) {
      // Runs when the state cache has applied the whole revision.
      reactor.execute(controllerLease::acknowledgeEndedTerms);
    }
  }

  private void scheduleCheck() {
    reactor.schedule(leaseMs / CHECKS_PER_LEASE, this::check);
  }

  private void check() {
    controllerLease.renew();
    controllerLease.acknowledgeEndedTerms();
    failover.check();
    scheduleCheck();
  }

  /** Returns whether this controller may act as the leader of its shards now. */
  public boolean mayAct() {
    return fence.isOpen();
  }

  /** Returns the fence that bounds acting without an answer from the key-value store. */
  public LeadershipFence fence() {
    return fence;
  }

  /** Returns this controller's label, which is also the name of its home shard. */
  public String ownLabel() {
    return ownLabel;
  }

  /**
   * Returns whether this controller is registered and has the lowest label of all members. That
   * member does the cluster-wide work.
   */
  public boolean hasLowestLabel() {
    return controllerLease.isRegistered() && failover.rank() == 0;
  }

  /**
   * Acquires a shard whose leader may still act, unless the shard's leadership has changed within
   * one lease duration.
   */
  public void seizeLeadership(String shard) {
    leadershipChanges.seize(shard);
  }

  /** Ends this controller's leadership term of a shard and makes another member its leader. */
  public void transferLeadership(String shard, String to) {
    leadershipChanges.transfer(shard, to);
  }
}
