package org.fieldtrestle.controller;

import java.util.function.Consumer;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.leadership.LeadershipTransfer;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.protocol.UserProtocol;
import org.fieldtrestle.protocol.WorkerProtocol;
import org.fieldtrestle.shard.ShardLeader;
import org.fieldtrestle.state.Records;
import org.fieldtrestle.state.StateCache;
import org.fieldtrestle.transport.Http;

/** Passes a heartbeat to the leader of the machine's shard, or redirects the worker to it. */
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
    WorkerProtocol.Heartbeat heartbeat;
    try {
      heartbeat = WorkerProtocol.readHeartbeat(body);
    } catch (Json.MalformedJsonException e) {
      reply.accept(new Http.Response(STATUS_BAD_REQUEST, UserProtocol.error(e.getMessage())));
      return;
    }
    if (!context.stateCache().ready()) {
      reply.accept(UNAVAILABLE);
      return;
    }
    Records.Machine machine = context.stateCache().machines().get(heartbeat.machine());
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

  /** Names the shard's leader to a worker, or none while this controller is about to lead it. */
  private Http.Response redirect(String machine, String shard) {
    StateCache.Versioned<Records.Shard> current = context.stateCache().shard(shard);
    String leader = current == null ? null : current.record().holder();
    if (leader != null) {
      leadershipTransfer.redirected(machine, leader);
    }
    boolean self = context.settings().label().equals(leader);
    return new Http.Response(STATUS_MISDIRECTED, WorkerProtocol.redirect(self ? null : leader));
  }
}
