package org.fieldtrestle.scaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.state.MachineRecord;
import org.fieldtrestle.state.StateChanges;
import org.fieldtrestle.state.StateKey;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.worker.LeadershipTerm;

/** Updates of a machine inventory that are written in a single compare-and-swap transaction. */
final class InventoryBatch {
  /** The result of {@link InventoryBatch#include}. */
  enum Inclusion {
    /** The update is in the batch. */
    INCLUDED,
    /** The part of the inventory that the update changes does not fit into the transaction. */
    DEFERRED,
    /** The update is no longer needed, according to the state cache. */
    OBSOLETE
  }

  /** Share of the maximum value size up to which a part of the inventory is filled. */
  private static final double MAX_FILL_SHARE = 0.8;

  /** Maximum number of bytes that a machine takes in a value. */
  private static final int BYTES_PER_MACHINE = 24;

  /**
   * Maximum size of the inventory values in a transaction; the rest is left for its other contents.
   */
  private static final double MAX_TRANSACTION_KB = 56;

  /**
   * Operations that are kept free for the changes of a further machine and for {@link
   * LeadershipTerm#guard}.
   */
  private static final int SPARE_OPERATIONS = 4;

  /** The key-value store accepts this many conditions per operation that it accepts. */
  private static final int CONDITIONS_PER_OPERATION = 4;

  /** Conditions that are kept free, for example for the parts of other shards' inventories. */
  private static final int SPARE_CONDITIONS = 16;

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final Map<String, PendingUpdate> updates = new LinkedHashMap<>();
  private final List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
  private final List<KeyValueProtocol.Change> changes = new ArrayList<>();

  /** The parts of the inventory that the batch changes, as they will be after the transaction. */
  private final Map<StateKey.InventoryKey, Map<String, MachineRecord>> parts =
      new TreeMap<>(Comparator.comparingInt(StateKey.InventoryKey::part));

  InventoryBatch(ControllerContext context, LeadershipTerm term) {
    this.context = context;
    this.term = term;
  }

  /** Returns the included updates by machine. */
  Map<String, PendingUpdate> updates() {
    return updates;
  }

  /** Returns the conditions of the transaction, which are complete after {@link #complete}. */
  List<KeyValueProtocol.Condition> conditions() {
    return conditions;
  }

  /** Returns the changes of the transaction, which are complete after {@link #complete}. */
  List<KeyValueProtocol.Change> changes() {
    return changes;
  }

  /**
   * Whether an update of one more machine fits. The key-value store limits the operations and
   * conditions of a transaction.
   */
  boolean hasCapacity() {
    int operations = context.settings().storeLimits().maxTransactionChanges();
    return changes.size() + parts.size() + SPARE_OPERATIONS < operations
        && conditions.size() + 2 * parts.size() + SPARE_CONDITIONS
            < CONDITIONS_PER_OPERATION * operations;
  }

  /** Includes an update if it is still needed and fits into the transaction. */
  Inclusion include(String id, PendingUpdate update) {
    MachineRecord recorded = context.stateCache().machines().get(id);
    if (update instanceof PendingUpdate.Add add) {
      return recorded != null ? Inclusion.OBSOLETE : includeAdd(id, add);
    }
    if (recorded == null || !recorded.shard().equals(term.shard())) {
      return Inclusion.OBSOLETE;
    }
    if (!partFits(recorded.part())) {
      return Inclusion.DEFERRED;
    }
    Map<String, MachineRecord> part = part(recorded.part());
    if (update instanceof PendingUpdate.MarkUp) {
      part.put(id, recorded.withUpSince(term.epoch()));
    } else {
      part.remove(id);
      if (context.stateCache().version(StateKeys.orphan(id)) != 0) {
        changes.add(new KeyValueProtocol.Delete(StateKeys.orphan(id)));
      }
    }
    updates.put(id, update);
    return Inclusion.INCLUDED;
  }

  private Inclusion includeAdd(String id, PendingUpdate.Add add) {
    int partNumber = firstPartNumberWithRoom();
    if (!partFits(partNumber)) {
      return Inclusion.DEFERRED;
    }
    updates.put(id, add);
    MachineRecord machine = add.machine();
    part(partNumber)
        .put(
            id,
            new MachineRecord(
                machine.shard(),
                partNumber,
                machine.type(),
                machine.zone(),
                machine.spot(),
                machine.bootingSinceWallMs(),
                machine.upSinceEpoch()));
    // The shard that adopts a machine writes this key, so that a late write of the shard that
    // rented it cannot add the machine again.
    String orphanKey = StateKeys.orphan(id);
    conditions.add(
        new KeyValueProtocol.Condition(orphanKey, context.stateCache().version(orphanKey)));
    if (add.adopted()) {
      changes.add(StateChanges.putOrphan(orphanKey, term.shard()));
    }
    return Inclusion.INCLUDED;
  }

  private int firstPartNumberWithRoom() {
    double partBytes = context.settings().storeLimits().maxValueKb() * 1024;
    int maxMachines = (int) (partBytes * MAX_FILL_SHARE / BYTES_PER_MACHINE);
    int partNumber = 0;
    while (machineCount(partNumber) >= maxMachines
        || !context.stateCache().isReadable(StateKeys.inventory(inventoryKey(partNumber)))) {
      partNumber++;
    }
    return partNumber;
  }

  private int machineCount(int partNumber) {
    Map<String, MachineRecord> changed = parts.get(inventoryKey(partNumber));
    return changed != null ? changed.size() : stored(inventoryKey(partNumber)).size();
  }

  /**
   * Whether a part of the inventory is already in the transaction or still fits into it. Updates of
   * a part that does not fit wait for the next batch, while updates of parts that are in this batch
   * are still included. Otherwise a shard with many parts would write only a few machines at a
   * time.
   */
  private boolean partFits(int partNumber) {
    return parts.containsKey(inventoryKey(partNumber))
        || (parts.size() + 1) * context.settings().storeLimits().maxValueKb() <= MAX_TRANSACTION_KB;
  }

  private Map<String, MachineRecord> part(int partNumber) {
    return parts.computeIfAbsent(inventoryKey(partNumber), key -> new TreeMap<>(stored(key)));
  }

  private Map<String, MachineRecord> stored(StateKey.InventoryKey key) {
    return context.stateCache().inventories().getOrDefault(key, Map.of());
  }

  private StateKey.InventoryKey inventoryKey(int partNumber) {
    return new StateKey.InventoryKey(term.shard(), partNumber);
  }

  /**
   * Adds the conditions and changes that all updates share. No update may be included afterwards.
   */
  void complete() {
    if (updates.values().stream().anyMatch(InventoryBatch::isAdoption)) {
      requireOtherInventoriesUnchanged();
    }
    parts.forEach(
        (key, machines) -> {
          if (!machines.equals(stored(key))) {
            String name = StateKeys.inventory(key);
            conditions.add(
                new KeyValueProtocol.Condition(name, context.stateCache().version(name)));
            changes.add(StateChanges.putInventory(name, machines));
          }
        });
  }

  private static boolean isAdoption(PendingUpdate update) {
    return update instanceof PendingUpdate.Add add && add.adopted();
  }

  /**
   * Adds conditions that no other shard has changed its inventory, so that no other shard has added
   * an adopted machine since it was seen to have no record.
   */
  private void requireOtherInventoriesUnchanged() {
    for (String other : context.stateCache().shards().keySet()) {
      if (!other.equals(term.shard())) {
        int partNumber = 0;
        long version;
        do {
          String key = StateKeys.inventory(new StateKey.InventoryKey(other, partNumber));
          version = context.stateCache().version(key);
          conditions.add(new KeyValueProtocol.Condition(key, version));
          partNumber++;
        } while (version != 0);
      }
    }
  }
}
