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

/** Updates of a machine inventory that are written in one compare-and-swap transaction. */
final class InventoryBatch {
  /** What became of an update. */
  enum Inclusion {
    /** It is in the batch. */
    INCLUDED,
    /** Its part of the inventory no longer fits the transaction. */
    DEFERRED,
    /** The state shows that there is nothing to write any more. */
    OBSOLETE
  }

  /** Share of a value's largest size up to which a part of the inventory is filled. */
  private static final double MAX_FILL = 0.8;

  /** The most that a machine takes of a value. */
  private static final int BYTES_PER_MACHINE = 24;

  /** The most that a transaction may hold in values, less what else is in it. */
  private static final double MAX_TRANSACTION_KB = 56;

  /** Operations that are kept free for a machine's own changes and the term's guard. */
  private static final int SPARE_OPERATIONS = 4;

  /** The store takes so many times as many conditions as operations. */
  private static final int CONDITIONS_PER_OPERATION = 4;

  /** Conditions that are kept free, as for the parts of other shards' inventories. */
  private static final int SPARE_CONDITIONS = 16;

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final Map<String, PendingUpdate> updates = new LinkedHashMap<>();
  private final List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
  private final List<KeyValueProtocol.Change> changes = new ArrayList<>();

  /** The parts of the inventory that the batch touches, as they will be. */
  private final Map<StateKey.InventoryKey, Map<String, MachineRecord>> parts =
      new TreeMap<>(Comparator.comparingInt(StateKey.InventoryKey::part));

  InventoryBatch(ControllerContext context, LeadershipTerm term) {
    this.context = context;
    this.term = term;
  }

  /** The included updates by machine. */
  Map<String, PendingUpdate> updates() {
    return updates;
  }

  /** The conditions of the transaction, complete after {@link #complete}. */
  List<KeyValueProtocol.Condition> conditions() {
    return conditions;
  }

  /** The changes of the transaction, complete after {@link #complete}. */
  List<KeyValueProtocol.Change> changes() {
    return changes;
  }

  /** Whether one more machine fits: the store limits operations and conditions. */
  boolean hasCapacity() {
    int operations = context.settings().storeLimits().maxTransactionChanges();
    return changes.size() + parts.size() + SPARE_OPERATIONS < operations
        && conditions.size() + 2 * parts.size() + SPARE_CONDITIONS
            < CONDITIONS_PER_OPERATION * operations;
  }

  /** Includes an update if it is still needed and fits. */
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
    int number = firstPartWithRoom();
    if (!partFits(number)) {
      return Inclusion.DEFERRED;
    }
    updates.put(id, add);
    MachineRecord machine = add.machine();
    part(number)
        .put(
            id,
            new MachineRecord(
                machine.shard(),
                number,
                machine.type(),
                machine.zone(),
                machine.spot(),
                machine.bootingSinceWallMs(),
                machine.upSinceEpoch()));
    // An adopter writes this key, so that a renter's late write cannot add the machine again.
    String orphanKey = StateKeys.orphan(id);
    conditions.add(
        new KeyValueProtocol.Condition(orphanKey, context.stateCache().version(orphanKey)));
    if (add.adopted()) {
      changes.add(StateChanges.putOrphan(orphanKey, term.shard()));
    }
    return Inclusion.INCLUDED;
  }

  private int firstPartWithRoom() {
    double partBytes = context.settings().storeLimits().maxValueKb() * 1024;
    int maxMachines = (int) (partBytes * MAX_FILL / BYTES_PER_MACHINE);
    int number = 0;
    while (sizeOf(number) >= maxMachines
        || !context.stateCache().isReadable(StateKeys.inventory(key(number)))) {
      number++;
    }
    return number;
  }

  private int sizeOf(int number) {
    Map<String, MachineRecord> changed = parts.get(key(number));
    return changed != null ? changed.size() : stored(key(number)).size();
  }

  /**
   * Whether a part is in the transaction or still fits it. Updates of a part that does not fit wait
   * for the next batch, while those of parts that are in this one go on: otherwise a shard of many
   * parts would write few machines at a time.
   */
  private boolean partFits(int number) {
    return parts.containsKey(key(number))
        || (parts.size() + 1) * context.settings().storeLimits().maxValueKb() <= MAX_TRANSACTION_KB;
  }

  private Map<String, MachineRecord> part(int number) {
    return parts.computeIfAbsent(key(number), key -> new TreeMap<>(stored(key)));
  }

  private Map<String, MachineRecord> stored(StateKey.InventoryKey key) {
    return context.stateCache().inventories().getOrDefault(key, Map.of());
  }

  private StateKey.InventoryKey key(int number) {
    return new StateKey.InventoryKey(term.shard(), number);
  }

  /** Adds the conditions and changes of all updates together; nothing is included after that. */
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

  /** No other shard may have added a machine that is adopted since its absence was seen. */
  private void requireOtherInventoriesUnchanged() {
    for (String other : context.stateCache().shards().keySet()) {
      if (!other.equals(term.shard())) {
        int number = 0;
        long version;
        do {
          String key = StateKeys.inventory(new StateKey.InventoryKey(other, number));
          version = context.stateCache().version(key);
          conditions.add(new KeyValueProtocol.Condition(key, version));
          number++;
        } while (version != 0);
      }
    }
  }
}
