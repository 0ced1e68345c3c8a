package org.fieldtrestle.controller;

import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.leadership.LeadershipTransfer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves the leadership of shards away from a controller that is cut off from their workers: by a
 * leadership transfer if that is this controller, by seizing the shards if it is another one.
 */
final class LeadershipMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(LeadershipMonitor.class);

  private final ControllerContext context;
  private final LeadershipTransfer leadershipTransfer;
  private final PeerLiveness liveness;
  private final LocalShards shards;

  LeadershipMonitor(
      ControllerContext context,
      LeadershipTransfer leadershipTransfer,
      PeerLiveness liveness,
      LocalShards shards) {
    this.context = context;
    this.leadershipTransfer = leadershipTransfer;
    this.liveness = liveness;
    this.shards = shards;
  }

  void check() {
    transferIfCutOff();
    seizeFromUnreachable();
  }

  /** Transfers all shards of this controller if their workers reach another controller instead. */
  private void transferIfCutOff() {
    if (!context.mayAct()) {
      return;
    }
    leadershipTransfer
        .preferredLeader(shards.reachability(leadershipTransfer.silenceThresholdMs()))
        .ifPresent(this::transferAll);
  }

  private void transferAll(String to) {
    LOG.atWarn()
        .addKeyValue("to", to)
        .addKeyValue("shards", shards.names())
        .log("transferring leadership: workers are silent here and reach another controller");
    for (String shard : shards.names()) {
      context.membership().transferLeadership(shard, to);
    }
  }

  /** Seizes shards whose leader can be reached neither by their workers nor by this controller. */
  private void seizeFromUnreachable() {
    if (!context.mayAct()) {
      return;
    }
    for (String peer : liveness.peers()) {
      if (!liveness.isAlive(peer) && context.stateCache().members().containsKey(peer)) {
        seizeFrom(peer);
      }
    }
  }

  private void seizeFrom(String peer) {
    long silentMs = liveness.silentMs(peer);
    for (String shard : context.stateCache().shardsLedBy(peer)) {
      int machines = context.stateCache().machineCountOf(shard);
      if (leadershipTransfer.isUnreachable(peer, silentMs, machines)) {
        LOG.atWarn()
            .addKeyValue("controller", peer)
            .addKeyValue("shard", shard)
            .addKeyValue("silentMs", silentMs)
            .log("controller unreachable, seizing its shard");
        context.membership().seizeLeadership(shard);
      }
    }
  }
}
