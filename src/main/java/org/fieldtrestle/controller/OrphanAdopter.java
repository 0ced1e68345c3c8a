package org.fieldtrestle.controller;

import java.util.HashSet;
import java.util.Set;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.Heartbeat;
import org.fieldtrestle.protocol.MalformedJsonException;
import org.fieldtrestle.protocol.WorkerProtocol;
import org.fieldtrestle.shard.ShardLeader;
import org.fieldtrestle.state.BoundedCache;
import org.fieldtrestle.state.StateKey;
import org.fieldtrestle.transport.Http;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Adopts orphan machines into this controller's own shard: workers that send heartbeats although no
 * shard's inventory lists their machine.
 */
final class OrphanAdopter {
  private static final Logger LOG = LoggerFactory.getLogger(OrphanAdopter.class);

  /** Machines whose record was removed that are remembered. */
  private static final int MAX_REMOVED_MACHINES = 10_000;

  private static final int STATUS_OK = 200;

  private final ControllerContext context;
  private final LocalShards shards;

  /** Machines that are being inspected or entered into the inventory, or that failed lately. */
  private final Set<String> adopting = new HashSet<>();

  private final Set<String> recordedMachines = new HashSet<>();

  /** Machines whose record was removed; a late heartbeat must not bring them back. */
  private final BoundedCache<String, Boolean> removedMachines =
      new BoundedCache<>(MAX_REMOVED_MACHINES);

  OrphanAdopter(ControllerContext context, LocalShards shards) {
    this.context = context;
    this.shards = shards;
  }

  /** Follows a change of a machine's record. */
  void machineChanged(StateKey.MachineKey key) {
    if (context.stateCache().machines().containsKey(key.machine())) {
      recordedMachines.add(key.machine());
    } else if (recordedMachines.remove(key.machine())) {
      removedMachines.put(key.machine(), true);
    }
  }

  /**
   * Adopts the machine of a heartbeat once it answers an inspection: the heartbeat may be a late
   * copy, sent before the machine was returned.
   */
  void adopt(Heartbeat heartbeat) {
    ShardLeader shard = shards.get(context.settings().label());
    String machine = heartbeat.machine();
    if (shard == null
        || !shard.isLeading()
        || removedMachines.get(machine) != null
        || !adopting.add(machine)) {
      return;
    }
    context
        .caller()
        .call(
            heartbeat.address(),
            "GET",
            WorkerProtocol.INSPECT_PATH,
            Http.Response.EMPTY,
            WorkerProtocol.HEARTBEAT_TIMEOUT_MS,
            outcome -> inspected(shard, heartbeat, outcome));
  }

  private void inspected(ShardLeader shard, Heartbeat heartbeat, Http.Outcome outcome) {
    String machine = heartbeat.machine();
    if (!shard.isLeading() || !isAnswerOf(machine, outcome)) {
      context.reactor().schedule(context.heartbeatIntervalsMs(1), () -> adopting.remove(machine));
      return;
    }
    LOG.atInfo()
        .addKeyValue("machine", machine)
        .addKeyValue("shard", shard.name())
        .log("adopting orphan machine");
    shard
        .inventory()
        .adopt(
            machine,
            heartbeat.type(),
            heartbeat.zone(),
            heartbeat.spot(),
            () -> adopting.remove(machine));
  }

  private static boolean isAnswerOf(String machine, Http.Outcome outcome) {
    if (outcome instanceof Http.Answer answer && answer.status() == STATUS_OK) {
      try {
        return WorkerProtocol.readHeartbeat(answer.body()).machine().equals(machine);
      } catch (MalformedJsonException e) {
        return false;
      }
    }
    return false;
  }
}
