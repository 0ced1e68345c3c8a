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

/** Decodes the messages of other controllers and passes them to the components they concern. */
final class PeerMessageReceiver {
  private static final Logger LOG = LoggerFactory.getLogger(PeerMessageReceiver.class);

  private final ControllerContext context;
  private final PeerLiveness liveness;
  private final LeadershipTransfer leadershipTransfer;
  private final LocalShards shards;
  private final double maxAgeMs;

  /**
   * @param statusExpiryMs time after which a status message no longer counts
   */
  PeerMessageReceiver(
      ControllerContext context,
      PeerLiveness liveness,
      LeadershipTransfer leadershipTransfer,
      LocalShards shards,
      long statusExpiryMs) {
    this.context = context;
    this.liveness = liveness;
    this.leadershipTransfer = leadershipTransfer;
    this.shards = shards;
    this.maxAgeMs = statusExpiryMs + 2 * context.settings().maxClockErrorMs();
  }

  /** Decodes and handles a frame, given without its length field. */
  void receive(ByteBuffer frame) {
    try {
      receive(PeerProtocol.decode(frame));
    } catch (MalformedFrameException e) {
      LOG.atWarn().addKeyValue("error", e.getMessage()).log("peer frame refused");
    }
  }

  private void receive(PeerFrame frame) {
    PeerMessage message = frame.message();
    if (message instanceof PeerMessage.JobCancelled cancelled) {
      // A cancellation is final, so the message is valid at any age.
      context.cancellations().noticeReceived(cancelled.job());
      shards.tellAll(new ShardLeader.JobCancelled(cancelled.job()));
      return;
    }
    if (Math.abs(context.reactor().wallClockMs() - frame.sentWallMs()) > maxAgeMs) {
      return; // delayed in the network: the sender's status may have changed since
    }
    if (message instanceof PeerMessage.ShardLoad shardLoad && !shards.contains(shardLoad.shard())) {
      context.loads().update(shardLoad);
    } else if (message instanceof PeerMessage.Liveness livenessMessage) {
      liveness.messageReceived(livenessMessage);
    } else if (message instanceof PeerMessage.RedirectCount redirectCount) {
      leadershipTransfer.reportReceived(redirectCount);
    }
  }
}
