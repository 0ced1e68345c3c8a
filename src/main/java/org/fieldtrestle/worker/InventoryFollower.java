package org.fieldtrestle.worker;

import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.state.MachineRecord;

/** Keeps a shard's workers as the machine inventories in the state cache name them. */
public final class InventoryFollower {
  private final ControllerContext context;
  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final TaskOutcomes outcomes;
  private final WorkerCommands commands;
  private final ShardEvents events;

  /** Follows nothing before {@link #inherit} is called. */
  public InventoryFollower(
      ControllerContext context,
      LeadershipTerm term,
      WorkerRegistry workers,
      TaskOutcomes outcomes,
      WorkerCommands commands,
      ShardEvents events) {
    this.context = context;
    this.term = term;
    this.workers = workers;
    this.outcomes = outcomes;
    this.commands = commands;
    this.events = events;
  }

  /** The term begins: what was there before has to be reconciled. */
  public void inherit() {
    context.stateCache().machines().keySet().forEach(id -> sync(id, true));
    if (context.stateCache().isInventoryDamaged(term.shard())) {
      workers.expectUnknownWorkersUntil(
          context.now() + term.formerLeaderGraceMs() + workers.leaseExpiryMs());
    }
  }

  /** Follows a change of a machine's record. */
  public void sync(String id) {
    sync(id, false);
  }

  private void sync(String id, boolean inherited) {
    MachineRecord record = context.stateCache().machines().get(id);
    Worker worker = workers.get(id);
    if (record == null || !record.shard().equals(term.shard())) {
      if (worker != null) {
        remove(worker);
      }
      return;
    }
    if (worker == null) {
      worker = add(id, record, inherited);
    }
    if (worker.followRecord(record.isUp(), context.now())) {
      events.requestPlacementPass();
    }
  }

  private void remove(Worker worker) {
    outcomes.workerLost(worker, "its record is gone");
    workers.remove(worker);
    commands.forget(worker);
  }

  private Worker add(String id, MachineRecord record, boolean inherited) {
    long rentedBeforeMs =
        Math.max(0, context.reactor().wallClockMs() - record.bootingSinceWallMs());
    Worker worker =
        new Worker(id, record, term.firstToken(), context.now(), rentedBeforeMs, workers.usage());
    if (inherited) {
      worker.connection().renewLease(context.now() + term.formerLeaderGraceMs());
    }
    workers.add(worker);
    // A machine that came up in this term cannot have been given anything before it.
    if (inherited && record.isUp()) {
      workers.addUnreconciled(worker);
    } else {
      workers.markReconciled(worker);
    }
    return worker;
  }
}
