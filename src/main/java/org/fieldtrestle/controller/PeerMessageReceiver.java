package org.fieldtrestle.controller;

import java.nio.ByteBuffer;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.leadership.LeadershipTransfer;
import org.fieldtrestle.protocol.MalformedFrameException;
import org.fieldtrestle.protocol.PeerFrame;
import org.fieldtrestle.protocol.PeerMessage;
import org.fieldtrestle.protocol.PeerProtocol;
import org.fieldtrestle.shard.ShardLeader;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decodes the messages of other controllers and passes them to the part that they concern. */
final class PeerMessageReceiver {
  private static final Logger LOG = LoggerFactory.getLogger(PeerMessageReceiver.class);

  private final ControllerContext context;
  private final PeerLiveness liveness;
  private final LeadershipTransfer leadershipTransfer;
  private final LocalShards shards;
  private final double maxAgeMs;

  /**
   * @param expiryMs a message of the sender's status counts for so long
   */
  PeerMessageReceiver(
      ControllerContext context,
      PeerLiveness liveness,
      LeadershipTransfer leadershipTransfer,
      LocalShards shards,
      long expiryMs) {
    this.context = context;
    this.liveness = liveness;
    this.leadershipTransfer = leadershipTransfer;
    this.shards = shards;
    this.maxAgeMs = expiryMs + 2 * context.settings().maxClockErrorMs();
  }

  /** Receives a frame without its length. */
  void receive(ByteBuffer frame) {
    try {
      receive(PeerProtocol.decode(frame));
    } catch (MalformedFrameException e) {
      LOG.atWarn().addKeyValue("error", e.getMessage()).log("peer frame refused");
    }
  }

  private void receive(PeerFrame frame) {
    PeerMessage message = frame.message();
    if (message instanceof PeerMessage.JobCancelled cancelled) { // final, so true at any age
      context.cancellations().heard(cancelled.job());
      shards.tellAll(new ShardLeader.JobCancelled(cancelled.job()));
      return;
    }
    if (Math.abs(context.reactor().wallClockMs() - frame.sentWallMs()) > maxAgeMs) {
      return; // delayed in the network: its sender's status may be another one now
    }
    if (message instanceof PeerMessage.ShardLoad load && !shards.contains(load.shard())) {
      context.loads().update(load);
    } else if (message instanceof PeerMessage.Liveness alive) {
      liveness.received(alive);
    } else if (message instanceof PeerMessage.RedirectCount report) {
      leadershipTransfer.reportReceived(report);
    }
  }
}
