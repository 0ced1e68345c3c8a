package org.fieldtrestle.scaling;

import java.util.LinkedHashMap;
import java.util.Map;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.state.MachineRecord;
import org.fieldtrestle.worker.LeadershipTerm;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the durable list of a shard's machines. Many machines share a value and many updates a
 * write: hundreds of machines come up within a minute, and a write for each would take all that the
 * key-value store allows. Updates that come in while a write is in flight, and for a short while
 * after, go into the next one.
 */
public final class MachineInventory {
  private static final Logger LOG = LoggerFactory.getLogger(MachineInventory.class);

  /** Time between two writes, in writes of this controller's share of the store's write rate. */
  private static final double WRITE_INTERVAL_WRITES = 3;

  private final LeadershipTerm term;
  private final ControllerContext context;

  /** The last update of each machine that is not written yet, in the order of the first one. */
  private final Map<String, PendingUpdate> pending = new LinkedHashMap<>();

  /** Whether a write is scheduled or in flight. */
  private boolean busy;

  private long nextWriteAtMs;

  /** Sets up the inventory of a shard for one term. */
  public MachineInventory(ControllerContext context, LeadershipTerm term) {
    this.context = context;
    this.term = term;
  }

  /** Adds a machine that this shard has rented, unless another shard has adopted it before. */
  void addRented(String id, String type, String zone, boolean spot) {
    long rentedAt = context.reactor().wall();
    MachineRecord machine = new MachineRecord(term.shard(), 0, type, zone, spot, rentedAt, 0);
    update(id, new PendingUpdate.Add(machine, false, () -> {}));
  }

  /**
   * Adds a machine without a record, unless another shard adds it before. It counts as up, as
   * another controller may have started tasks on it.
   *
   * @param decided called once the machine is added, or is known not to be
   */
  public void adopt(String id, String type, String zone, boolean spot, Runnable decided) {
    MachineRecord machine = new MachineRecord(term.shard(), 0, type, zone, spot, 0, term.epoch());
    update(id, new PendingUpdate.Add(machine, true, decided));
  }

  /** Marks a machine as up. Tasks may be started on it once that is durable. */
  public void up(String id) {
    update(id, new PendingUpdate.MarkUp());
  }

  /** Removes a machine that is gone. */
  void remove(String id) {
    update(id, new PendingUpdate.Remove());
  }

  private void update(String id, PendingUpdate update) {
    if (pending.put(id, update) instanceof PendingUpdate.Add replaced) {
      context.reactor().execute(replaced.decided());
    }
    scheduleWrite();
  }

  private void scheduleWrite() {
    if (!busy) {
      busy = true;
      context.reactor().schedule(Math.max(0, nextWriteAtMs - context.now()), this::write);
    }
  }

  private void write() {
    busy = false;
    if (term.isOver() || pending.isEmpty()) {
      return;
    }
    InventoryBatch batch = collectBatch();
    if (batch.updates().isEmpty()) {
      return;
    }
    batch.complete();
    if (batch.changes().isEmpty()) { // the store holds all of it already
      written(batch);
      return;
    }
    busy = true;
    double writesPerS =
        context.settings().equalShare(context.settings().storeLimits().changesPerS());
    nextWriteAtMs = context.now() + Math.round(1000 * WRITE_INTERVAL_WRITES / writesPerS);
    term.write(
        batch.conditions(),
        batch.changes(),
        committed -> {
          busy = false;
          if (committed) {
            written(batch);
          }
          // Updates that are not written stay pending and are compared with the state anew.
          if (!pending.isEmpty()) {
            scheduleWrite();
          }
        });
  }

  /** Puts pending updates into a batch until it is full; obsolete ones are dropped. */
  private InventoryBatch collectBatch() {
    InventoryBatch batch = new InventoryBatch(context, term);
    var updates = pending.entrySet().iterator();
    while (updates.hasNext() && batch.hasCapacity()) {
      Map.Entry<String, PendingUpdate> entry = updates.next();
      PendingUpdate update = entry.getValue();
      if (batch.include(entry.getKey(), update) == InventoryBatch.Inclusion.OBSOLETE) {
        updates.remove();
        if (update instanceof PendingUpdate.Add add) {
          context.reactor().execute(add.decided());
        }
      }
    }
    return batch;
  }

  private void written(InventoryBatch batch) {
    LOG.debug("{} machines written", batch.updates().size());
    batch
        .updates()
        .forEach(
            (id, update) -> {
              pending.remove(id, update); // one that has replaced it meanwhile stays
              if (update instanceof PendingUpdate.Add add) {
                add.decided().run();
              }
            });
  }
}
