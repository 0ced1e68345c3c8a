package org.fieldtrestle.scaling;

import java.util.LinkedHashMap;
import java.util.Map;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.state.MachineRecord;
import org.fieldtrestle.worker.LeadershipTerm;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the machine inventory of a shard, the durable list of its machines. Many machines share a
 * value and many updates share a write: hundreds of machines may come up within a minute, and a
 * write for each of them would use up the write rate that the key-value store allows. Updates that
 * are made while a write is in flight, or shortly after it, go into the next write.
 */
public final class MachineInventory {
  private static final Logger LOG = LoggerFactory.getLogger(MachineInventory.class);

  /**
   * Minimum time between two writes, in multiples of the average interval that this controller's
   * share of the key-value store's write rate allows.
   */
  private static final double WRITE_INTERVAL_WRITES = 3;

  private final LeadershipTerm term;
  private final ControllerContext context;

  /**
   * The latest unwritten update of each machine, in the order of the machines' first unwritten
   * updates.
   */
  private final Map<String, PendingUpdate> pending = new LinkedHashMap<>();

  /** Whether a write is scheduled or in flight. */
  private boolean busy;

  private long nextWriteAtMs;

  /** Creates the inventory of a shard for one term. */
  public MachineInventory(ControllerContext context, LeadershipTerm term) {
    this.context = context;
    this.term = term;
  }

  /** Adds a machine that this shard has rented, unless another shard has already adopted it. */
  void addRented(String id, String type, String zone, boolean spot) {
    long rentedAtWallMs = context.reactor().wallClockMs();
    MachineRecord machine = new MachineRecord(term.shard(), 0, type, zone, spot, rentedAtWallMs, 0);
    update(id, new PendingUpdate.Add(machine, false, () -> {}));
  }

  /**
   * Adds a machine that has no record, unless another shard adds it first. The machine counts as
   * up, as another controller may have started tasks on it.
   *
   * @param onDecided called once the machine was added or is known not to be added
   */
  public void adopt(String id, String type, String zone, boolean spot, Runnable onDecided) {
    MachineRecord machine = new MachineRecord(term.shard(), 0, type, zone, spot, 0, term.epoch());
    update(id, new PendingUpdate.Add(machine, true, onDecided));
  }

  /** Marks a machine as up. Tasks may be started on it once the mark is durable. */
  public void markUp(String id) {
    update(id, new PendingUpdate.MarkUp());
  }

  /** Removes a machine that no longer exists. */
  void remove(String id) {
    update(id, new PendingUpdate.Remove());
  }

  private void update(String id, PendingUpdate update) {
    if (pending.put(id, update) instanceof PendingUpdate.Add replaced) {
      context.reactor().execute(replaced.onDecided());
    }
    scheduleWrite();
  }

  private void scheduleWrite() {
    if (!busy) {
      busy = true;
      context.reactor().schedule(Math.max(0, nextWriteAtMs - context.nowMs()), this::write);
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
    if (batch.changes().isEmpty()) { // the key-value store already holds all updates
      batchWritten(batch);
      return;
    }
    busy = true;
    double writesPerS =
        context.settings().equalShare(context.settings().storeLimits().changesPerS());
    nextWriteAtMs = context.nowMs() + Math.round(1000 * WRITE_INTERVAL_WRITES / writesPerS);
    term.write(
        batch.conditions(),
        batch.changes(),
        committed -> {
          busy = false;
          if (committed) {
            batchWritten(batch);
          }
          // Updates that were not written stay pending and are compared with the state cache again.
          if (!pending.isEmpty()) {
            scheduleWrite();
          }
        });
  }

  /** Collects pending updates into a batch until it is full, and drops obsolete ones. */
  private InventoryBatch collectBatch() {
    InventoryBatch batch = new InventoryBatch(context, term);
    var updates = pending.entrySet().iterator();
    while (updates.hasNext() && batch.hasCapacity()) {
      Map.Entry<String, PendingUpdate> entry = updates.next();
      PendingUpdate update = entry.getValue();
      if (batch.include(entry.getKey(), update) == InventoryBatch.Inclusion.OBSOLETE) {
        updates.remove();
        if (update instanceof PendingUpdate.Add add) {
          context.reactor().execute(add.onDecided());
        }
      }
    }
    return batch;
  }

  private void batchWritten(InventoryBatch batch) {
    LOG.debug("{} updates of the machine inventory written", batch.updates().size());
    batch
        .updates()
        .forEach(
            (id, update) -> {
              pending.remove(id, update); // a newer update of the machine stays
              if (update instanceof PendingUpdate.Add add) {
                add.onDecided().run();
              }
            });
  }
}
