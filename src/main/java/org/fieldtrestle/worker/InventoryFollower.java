package org.fieldtrestle.worker;

import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.state.MachineRecord;

/** Keeps a shard's workers in step with the machine inventories in the state cache. */
public final class InventoryFollower {
  private final ControllerContext context;
  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final TaskOutcomes outcomes;
  private final WorkerCommands commands;
  private final ShardEvents events;

  /** Creates a follower that does nothing before {@link #inherit} is called. */
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

  /**
   * Adds the workers that existed before the term and have to be reconciled. Called when the term
   * begins.
   */
  public void inherit() {
    context.stateCache().machines().keySet().forEach(id -> sync(id, true));
    if (context.stateCache().hasUnreadableInventory(term.shard())) {
      workers.expectUnknownWorkersUntil(
          context.nowMs() + term.formerLeaderGraceMs() + workers.leaseExpiryMs());
    }
  }

  /** Applies a change of a machine's record. */
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
    if (worker.followRecord(record.isUp(), context.nowMs())) {
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
        new Worker(
            id, record, term.firstToken(), context.nowMs(), rentedBeforeMs, workers.teamUsage());
    if (inherited) {
      worker.connection().renewLease(context.nowMs() + term.formerLeaderGraceMs());
    }
    workers.add(worker);
    // A machine that came up in this term cannot have received commands before the term.
    if (inherited && record.isUp()) {
      workers.addUnreconciled(worker);
    } else {
      workers.markReconciled(worker);
    }
    return worker;
  }
}
