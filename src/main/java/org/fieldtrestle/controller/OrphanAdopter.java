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
 * Adopts orphan machines into this controller's home shard. An orphan is a machine whose worker
 * sends heartbeats although no shard's machine inventory lists the machine.
 */
final class OrphanAdopter {
  private static final Logger LOG = LoggerFactory.getLogger(OrphanAdopter.class);

  /** How many machines whose record was removed are remembered. */
  private static final int MAX_REMOVED_MACHINES = 10_000;

  private static final int STATUS_OK = 200;

  private final ControllerContext context;
  private final LocalShards shards;

  /**
   * Machines that are being inspected or added to the inventory, and machines whose inspection
   * failed less than a heartbeat interval ago.
   */
  private final Set<String> pendingAdoptions = new HashSet<>();

  /** Machines that have a record in the state cache. */
  private final Set<String> recordedMachines = new HashSet<>();

  /** Machines whose record was removed; a delayed heartbeat must not cause their adoption. */
  private final BoundedCache<String, Boolean> removedMachines =
      new BoundedCache<>(MAX_REMOVED_MACHINES);

  OrphanAdopter(ControllerContext context, LocalShards shards) {
    this.context = context;
    this.shards = shards;
  }

  /** Called when the record of a machine has changed in the state cache. */
  void machineChanged(StateKey.MachineKey key) {
    if (context.stateCache().machines().containsKey(key.machine())) {
      recordedMachines.add(key.machine());
    } else if (recordedMachines.remove(key.machine())) {
      removedMachines.put(key.machine(), true);
    }
  }

  /**
   * Adopts the machine that sent a heartbeat, once it has answered an inspection. The heartbeat
   * alone is no proof that the machine exists: it may have been delayed and sent before the machine
   * was returned to the cloud.
   */
  void adopt(Heartbeat heartbeat) {
    ShardLeader shard = shards.get(context.settings().label());
    String machine = heartbeat.machine();
    if (shard == null
        || !shard.isLeading()
        || removedMachines.get(machine) != null
        || !pendingAdoptions.add(machine)) {
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
            outcome -> onInspected(shard, heartbeat, outcome));
  }

  private void onInspected(ShardLeader shard, Heartbeat heartbeat, Http.Outcome outcome) {
    String machine = heartbeat.machine();
    if (!shard.isLeading() || !isAnswerOf(machine, outcome)) {
      context
          .reactor()
          .schedule(context.heartbeatIntervalsMs(1), () -> pendingAdoptions.remove(machine));
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
            () -> pendingAdoptions.remove(machine));
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
