package org.fieldtrestle.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.function.Consumer;
import org.fieldtrestle.state.StateKey.InventoryKey;
import org.fieldtrestle.state.StateKey.JobKey;
import org.fieldtrestle.state.StateKey.MachineKey;
import org.fieldtrestle.state.StateKey.MemberKey;
import org.fieldtrestle.state.StateKey.QuotaKey;
import org.fieldtrestle.state.StateKey.RangeKey;
import org.fieldtrestle.state.StateKey.ShardKey;
import org.fieldtrestle.state.StateKey.UnknownKey;

/** The records that a {@link StateCache} holds, by kind and key. */
final class CachedRecords {
  private final Consumer<StateKey> machineListener;
  private final Map<String, ActiveJob> jobs = new HashMap<>();
  private final Map<String, MachineRecord> machines = new HashMap<>();
  private final Map<InventoryKey, Map<String, MachineRecord>> inventories = new HashMap<>();
  private final Map<String, Versioned<ShardRecord>> shards = new HashMap<>();
  private final Map<String, Versioned<MemberRecord>> members = new HashMap<>();
  private final Map<String, Versioned<QuotaRecord>> quotas = new HashMap<>();

  /**
   * @param machineListener called with the key of every machine that was added, changed or removed
   */
  CachedRecords(Consumer<StateKey> machineListener) {
    this.machineListener = machineListener;
  }

  /** Returns the job; {@code null} if the job's own record is not known. */
  ActiveJob job(String id) {
    ActiveJob job = jobs.get(id);
    return job == null || job.job() == null ? null : job;
  }

  Collection<ActiveJob> jobs() {
    return jobs.values();
  }

  Map<String, ActiveJob> jobsById() {
    return jobs;
  }

  NavigableMap<Integer, Versioned<RangeRecord>> rangesOf(String jobId) {
    ActiveJob job = jobs.get(jobId);
    return job == null ? Collections.emptyNavigableMap() : job.ranges();
  }

  Map<String, MachineRecord> machines() {
    return machines;
  }

  Map<InventoryKey, Map<String, MachineRecord>> inventories() {
    return inventories;
  }

  int machineCountOf(String shard) {
    int count = 0;
    for (Map.Entry<InventoryKey, Map<String, MachineRecord>> part : inventories.entrySet()) {
      count += part.getKey().shard().equals(shard) ? part.getValue().size() : 0;
    }
    return count;
  }

  Map<String, Versioned<ShardRecord>> shards() {
    return shards;
  }

  List<String> shardsLedBy(String controller) {
    List<String> led = new ArrayList<>();
    shards.forEach(
        (shard, current) -> {
          if (current.record().leader().equals(controller)) {
            led.add(shard);
          }
        });
    return led;
  }

  Map<String, Versioned<MemberRecord>> members() {
    return members;
  }

  Versioned<QuotaRecord> quota(String team) {
    return quotas.get(team);
  }

  /**
   * Decodes a value and replaces the record of its key.
   *
   * @throws UnreadableRecordException if the value cannot be used; the previous record is unchanged
   */
  void put(StateKey key, JsonNode value, long version) throws UnreadableRecordException {
    if (key instanceof JobKey k) {
      JobRecord job = RecordCodec.decodeJob(value);
      activeJob(k.job()).putJob(job, version);
    } else if (key instanceof RangeKey k) {
      RangeRecord range = RecordCodec.decodeRange(value);
      activeJob(k.job()).putRange(k.index(), range, version);
    } else if (key instanceof InventoryKey k) {
      putInventory(k, RecordCodec.decodeInventory(k, value));
    } else if (key instanceof ShardKey k) {
      shards.put(k.shard(), new Versioned<>(RecordCodec.decodeShard(value), version));
    } else if (key instanceof MemberKey k) {
      members.put(k.label(), new Versioned<>(RecordCodec.decodeMember(value), version));
    } else if (key instanceof QuotaKey k) {
      quotas.put(k.team(), new Versioned<>(RecordCodec.decodeQuota(value), version));
    } else if (key instanceof UnknownKey k) {
      throw new UnreadableRecordException(StateKeys.unknownKeyReason(k.key()));
    }
  }

  private ActiveJob activeJob(String id) {
    return jobs.computeIfAbsent(id, key -> new ActiveJob());
  }

  /**
   * Replaces a part of an inventory, and reports each machine that was added, changed or removed.
   */
  private void putInventory(InventoryKey key, Map<String, MachineRecord> next) {
    Map<String, MachineRecord> previous = inventories.getOrDefault(key, Map.of());
    inventories.put(key, next);
    previous.forEach(
        (id, machine) -> {
          if (!next.containsKey(id) && machine.equals(machines.get(id))) {
            machines.remove(id);
            machineListener.accept(new MachineKey(id));
          }
        });
    next.forEach(
        (id, machine) -> {
          if (!machine.equals(machines.put(id, machine))) {
            machineListener.accept(new MachineKey(id));
          }
        });
  }

  /**
   * Removes the record of a key whose value cannot be read. Machines of an inventory are kept,
   * because tasks may run on them. Ranges that only the job's record names are kept, because their
   * tasks are not done yet.
   */
  void markUnreadable(StateKey key) {
    if (key instanceof JobKey k) {
      ActiveJob job = jobs.get(k.job());
      if (job != null) {
        job.forgetJobRecord();
      }
    } else if (!(key instanceof InventoryKey)) {
      remove(key);
    }
  }

  /** Removes the record of a key that has been deleted. */
  void remove(StateKey key) {
    if (key instanceof JobKey k) {
      ActiveJob job = jobs.get(k.job());
      if (job != null) {
        job.removeJob();
        removeIfEmpty(k.job(), job);
      }
    } else if (key instanceof RangeKey k) {
      ActiveJob job = jobs.get(k.job());
      if (job != null) {
        job.removeRange(k.index());
        removeIfEmpty(k.job(), job);
      }
    } else if (key instanceof InventoryKey k) {
      putInventory(k, Map.of());
      inventories.remove(k);
    } else if (key instanceof ShardKey k) {
      shards.remove(k.shard());
    } else if (key instanceof MemberKey k) {
      members.remove(k.label());
    } else if (key instanceof QuotaKey k) {
      quotas.remove(k.team());
    }
  }

  private void removeIfEmpty(String id, ActiveJob job) {
    if (job.isEmpty()) {
      jobs.remove(id);
    }
  }
}
