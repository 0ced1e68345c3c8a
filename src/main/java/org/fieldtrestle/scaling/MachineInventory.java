package org.fieldtrestle.scaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.state.MachineRecord;
import org.fieldtrestle.state.StateChanges;
import org.fieldtrestle.state.StateKey;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.worker.LeadershipTerm;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes which machines are a shard's, many of them in one value: hundreds come up within a minute,
 * and a write for each would take all that the state service allows. What comes in while a write is
 * under way, and for a short while after, goes into the next.
 */
public final class MachineInventory {
  private static final Logger LOG = LoggerFactory.getLogger(MachineInventory.class);

  /** Share of a value that is filled, and what a machine takes of it at the most. */
  private static final double FILLED = 0.8;

  private static final int BYTES_EACH = 24;

  /** What a transaction may hold, less what is in it beside values. */
  private static final double MOST_KB = 56;

  /** Writes of this shard's part of what the state service allows that go by between two. */
  private static final double APART = 3;

  /** What is to become of a machine in the roster. */
  private sealed interface Wish {}

  private record Add(MachineRecord machine, boolean adopted, Consumer<Boolean> done)
      implements Wish {}

  private record Up() implements Wish {}

  private record Remove() implements Wish {}

  private final LeadershipTerm term;
  private final ControllerContext context;
  private final Map<String, Wish> wishes = new LinkedHashMap<>();
  private boolean busy;
  private long notBefore;

  public MachineInventory(ControllerContext context, LeadershipTerm term) {
    this.context = context;
    this.term = term;
  }

  /**
   * A machine becomes ours, unless somebody else is quicker.
   *
   * @param adopted it was rented by somebody else, or nobody knows by whom, and may be up
   */
  public void add(
      String id, String type, String zone, boolean spot, boolean adopted, Consumer<Boolean> done) {
    long upIn = adopted ? term.epoch() : 0;
    long since = adopted ? 0 : context.reactor().wall();
    wish(
        id,
        new Add(new MachineRecord(term.shard(), 0, type, zone, spot, since, upIn), adopted, done));
  }

  /** Tasks may be started on a machine once this is durable. */
  public void up(String id) {
    wish(id, new Up());
  }

  /** A machine is gone. */
  void remove(String id) {
    wish(id, new Remove());
  }

  private void wish(String id, Wish wish) {
    if (wishes.get(id) instanceof Add before) {
      context.reactor().execute(() -> before.done().accept(false));
    }
    wishes.put(id, wish);
    soon();
  }

  private void soon() {
    if (!busy) {
      busy = true;
      context.reactor().schedule(Math.max(0, notBefore - context.now()), this::write);
    }
  }

  /** One transaction being put together. */
  private final class Batch {
    final Map<String, Wish> taken = new LinkedHashMap<>();
    final List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    final List<KeyValueProtocol.Change> changes = new ArrayList<>();
    final Map<StateKey.InventoryKey, TreeMap<String, MachineRecord>> parts = new TreeMap<>(BY_PART);

    TreeMap<String, MachineRecord> part(StateKey.InventoryKey key) {
      return parts.computeIfAbsent(
          key, k -> new TreeMap<>(context.stateCache().inventories().getOrDefault(k, Map.of())));
    }

    /** Room for one more machine: the state service limits both. */
    boolean open() {
      return changes.size() + parts.size() + 4 < context.settings().state().txnOps()
          && conditions.size() + 2 * parts.size() + 16 < 4 * context.settings().state().txnOps();
    }

    /**
     * Whether another part still fits the transaction. One that does not waits for the next, while
     * machines of those that are in it go on: else a shard of many parts writes few at a time.
     */
    private boolean fits(int part) {
      return parts.containsKey(key(part))
          || (parts.size() + 1) * context.settings().state().valueKb() <= MOST_KB;
    }

    void include(String id, Wish wish) {
      MachineRecord known = context.stateCache().machines().get(id);
      boolean ours = known != null && known.shard().equals(term.shard());
      if (wish instanceof Add add) {
        if (known != null) {
          wishes.remove(id, wish);
          context.reactor().execute(() -> add.done().accept(ours));
          return;
        }
        add(id, add);
        return;
      } else if (!ours) {
        wishes.remove(id, wish);
        return;
      } else if (!fits(known.part())) {
        return;
      } else if (wish instanceof Up) {
        part(key(known.part())).put(id, known.withUpSince(term.epoch()));
      } else {
        part(key(known.part())).remove(id);
        if (context.stateCache().version(StateKeys.orphan(id)) != 0) {
          changes.add(new KeyValueProtocol.Delete(StateKeys.orphan(id)));
        }
      }
      taken.put(id, wish);
    }

    private int sizeOf(int part) {
      Map<String, MachineRecord> changed = parts.get(key(part));
      return changed != null
          ? changed.size()
          : context.stateCache().inventories().getOrDefault(key(part), Map.of()).size();
    }

    private void add(String id, Add add) {
      int number = 0;
      int most = (int) (context.settings().state().valueKb() * 1024 * FILLED / BYTES_EACH);
      while (sizeOf(number) >= most
          || !context.stateCache().isReadable(StateKeys.inventory(key(number)))) {
        number++;
      }
      if (!fits(number)) {
        return;
      }
      taken.put(id, add);
      MachineRecord m = add.machine();
      part(key(number))
          .put(
              id,
              new MachineRecord(
                  m.shard(),
                  number,
                  m.type(),
                  m.zone(),
                  m.spot(),
                  m.bootingSinceWallMs(),
                  m.upSinceEpoch()));
      String stray = StateKeys.orphan(id);
      conditions.add(new KeyValueProtocol.Condition(stray, context.stateCache().version(stray)));
      if (add.adopted()) {
        changes.add(StateChanges.putOrphan(stray, term.shard()));
      }
    }

    /** Nobody else may have entered a machine that we adopt since we looked. */
    private void othersUnchanged() {
      for (String other : context.stateCache().shards().keySet()) {
        if (!other.equals(term.shard())) {
          int number = 0;
          long version;
          do {
            String key = StateKeys.inventory(new StateKey.InventoryKey(other, number++));
            version = context.stateCache().version(key);
            conditions.add(new KeyValueProtocol.Condition(key, version));
          } while (version != 0);
        }
      }
    }

    void finish() {
      if (taken.values().stream().anyMatch(w -> w instanceof Add add && add.adopted())) {
        othersUnchanged();
      }
      parts.forEach(
          (key, machines) -> {
            String name = StateKeys.inventory(key);
            long version = context.stateCache().version(name);
            if (machines.equals(context.stateCache().inventories().getOrDefault(key, Map.of()))) {
              return; // looked at only
            }
            conditions.add(new KeyValueProtocol.Condition(name, version));
            changes.add(StateChanges.putInventory(name, machines));
          });
    }
  }

  private static final Comparator<StateKey.InventoryKey> BY_PART =
      Comparator.comparingInt(StateKey.InventoryKey::part);

  private StateKey.InventoryKey key(int part) {
    return new StateKey.InventoryKey(term.shard(), part);
  }

  private void write() {
    busy = false;
    if (term.isOver() || wishes.isEmpty()) {
      return;
    }
    Batch batch = new Batch();
    for (Map.Entry<String, Wish> one : new LinkedHashMap<>(wishes).entrySet()) {
      if (!batch.open()) {
        break;
      }
      batch.include(one.getKey(), one.getValue());
    }
    if (batch.taken.isEmpty()) {
      return;
    }
    batch.finish();
    if (batch.changes.isEmpty()) { // all of it is so already
      done(batch, true);
      return;
    }
    busy = true;
    notBefore =
        context.now()
            + Math.round(
                1000 * APART / context.settings().share(context.settings().state().writeRps()));
    term.write(
        batch.conditions,
        batch.changes,
        committed -> {
          busy = false;
          done(batch, committed);
          if (!wishes.isEmpty()) {
            soon();
          }
        });
  }

  private void done(Batch batch, boolean committed) {
    if (!committed) {
      return; // looked at anew, as the state has been read on
    }
    LOG.debug("{} machines written", batch.taken.size());
    batch.taken.forEach(
        (id, wish) -> {
          wishes.remove(id, wish);
          if (wish instanceof Add add) {
            add.done().accept(true);
          }
        });
  }
}
