package org.fieldtrestle.controller;

import java.nio.ByteBuffer;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.leadership.LeadershipTransfer;
import org.fieldtrestle.protocol.PeerMessage;
import org.fieldtrestle.protocol.PeerProtocol;
import org.fieldtrestle.shard.ShardLeader;
import org.fieldtrestle.transport.PeerSender;

/** Sends this controller's messages to all other controllers. Messages may be lost on the way. */
final class PeerBroadcaster {
  private final ControllerContext context;
  private final PeerSender sender;
  private final LeadershipTransfer leadershipTransfer;
  private final LocalShards shards;

  PeerBroadcaster(
      ControllerContext context,
      PeerSender sender,
      LeadershipTransfer leadershipTransfer,
      LocalShards shards) {
    this.context = context;
    this.sender = sender;
    this.leadershipTransfer = leadershipTransfer;
    this.shards = shards;
  }

  /** Sends the regular status messages: liveness, redirect counts and the loads of led shards. */
  void broadcastStatus() {
    ByteBuffer liveness = encode(liveness());
    for (Settings.Peer peer : context.settings().peers()) {
      sender.send(peer.address(), liveness.duplicate());
      sender.send(peer.address(), encode(leadershipTransfer.reportFor(peer.label())));
    }
    if (!context.mayAct()) {
      return;
    }
    for (ShardLeader shard : shards.all()) {
      if (shard.isActive()) {
        PeerMessage.ShardLoad load = shard.currentLoad();
        context.loads().update(load);
        broadcast(load);
      }
    }
  }

  private PeerMessage.Liveness liveness() {
    boolean storeAvailable =
        context.stateCache().isReady() && context.store().unavailableForMs() == 0;
    return new PeerMessage.Liveness(context.settings().label(), storeAvailable);
  }

  /**
   * Notifies the other controllers of a confirmed cancellation, so that tasks stop sooner if their
   * shard leader gets no answers from the key-value store. Without this message, the leadership
   * fence bounds the time until they stop.
   */
  void broadcastCancellation(String job) {
    broadcast(new PeerMessage.JobCancelled(context.settings().label(), job));
  }

  private void broadcast(PeerMessage message) {
    ByteBuffer frame = encode(message);
    for (Settings.Peer peer : context.settings().peers()) {
      sender.send(peer.address(), frame.duplicate());
    }
  }

  private ByteBuffer encode(PeerMessage message) {
    return PeerProtocol.encode(context.reactor().wallClockMs(), message);
  }
}
