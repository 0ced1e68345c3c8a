package org.fieldtrestle.controller;

import java.util.function.Consumer;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.leadership.LeadershipTransfer;
import org.fieldtrestle.protocol.Heartbeat;
import org.fieldtrestle.protocol.MalformedJsonException;
import org.fieldtrestle.protocol.UserProtocol;
import org.fieldtrestle.protocol.WorkerProtocol;
import org.fieldtrestle.shard.ShardLeader;
import org.fieldtrestle.state.MachineRecord;
import org.fieldtrestle.state.ShardRecord;
import org.fieldtrestle.state.Versioned;
import org.fieldtrestle.transport.Http;

/**
 * Passes a heartbeat to the leader of the machine's shard, or redirects the worker to the
 * controller that leads this shard.
 */
final class HeartbeatRouter {
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_MISDIRECTED = 421;

  private static final Http.Response UNAVAILABLE = new Http.Response(503, Http.Response.EMPTY);

  private final ControllerContext context;
  private final LocalShards shards;
  private final LeadershipTransfer leadershipTransfer;
  private final OrphanAdopter orphanAdopter;

  HeartbeatRouter(
      ControllerContext context,
      LocalShards shards,
      LeadershipTransfer leadershipTransfer,
      OrphanAdopter orphanAdopter) {
    this.context = context;
    this.shards = shards;
    this.leadershipTransfer = leadershipTransfer;
    this.orphanAdopter = orphanAdopter;
  }

  void route(byte[] body, Consumer<Http.Response> reply) {
    Heartbeat heartbeat;
    try {
      heartbeat = WorkerProtocol.readHeartbeat(body);
    } catch (MalformedJsonException e) {
      reply.accept(new Http.Response(STATUS_BAD_REQUEST, UserProtocol.writeError(e.getMessage())));
      return;
    }
    if (!context.stateCache().isReady()) {
      reply.accept(UNAVAILABLE);
      return;
    }
    MachineRecord machine = context.stateCache().machines().get(heartbeat.machine());
    if (machine == null) {
      orphanAdopter.adopt(heartbeat);
      reply.accept(UNAVAILABLE);
      return;
    }
    ShardLeader shard = shards.get(machine.shard());
    if (shard != null) {
      shard.tell(new ShardLeader.HeartbeatReceived(heartbeat, reply));
      return;
    }
    reply.accept(redirect(heartbeat.machine(), machine.shard()));
  }

  /**
   * Returns a redirect to the controller that leads the shard. It names no controller if the shard
   * has no leader, or if this controller is recorded as the leader but has not begun its term yet.
   */
  private Http.Response redirect(String machine, String shard) {
    Versioned<ShardRecord> current = context.stateCache().shard(shard);
    String leader = current == null ? null : current.record().leader();
    if (leader != null) {
      leadershipTransfer.redirected(machine, leader);
    }
    boolean leaderIsSelf = context.settings().label().equals(leader);
    return new Http.Response(
        STATUS_MISDIRECTED, WorkerProtocol.writeRedirect(leaderIsSelf ? null : leader));
  }
}
