package org.fieldtrestle.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.state.StateKey.InventoryKey;
import org.fieldtrestle.state.StateKey.RangeKey;
import org.fieldtrestle.transport.Reactor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A copy of what the key-value store held at the applied revision, plus this controller's own later
 * commits. Listeners are called for every key that changes. All methods must be called on the
 * reactor's thread. The collections that are returned are live views and must not be modified.
 */
public final class StateCache {
  private static final Logger LOG = LoggerFactory.getLogger(StateCache.class);
  private static final long NOT_LOADED = -1;
  private static final long ABSENT = 0;

  /** A pending call of {@link #awaitRevision}. */
  private record Waiter(long revision, long deadlineMs, Consumer<Boolean> callback) {}

  private final Reactor reactor;
  private final StoreFollower follower;
  private final CachedRecords records = new CachedRecords(this::notifyListeners);
  private final Map<String, Long> versions = new HashMap<>();

  /**
   * The revisions of deletions that are newer than the applied revision, by key; they keep older
   * values from being put back.
   */
  private final Map<String, Long> deletionRevisions = new HashMap<>();

  private final Set<String> unreadableKeys = new HashSet<>();
  private final List<Consumer<StateKey>> keyListeners = new ArrayList<>();
  private final List<Runnable> progressListeners = new ArrayList<>();
  private final List<Waiter> waiters = new ArrayList<>();
  private long appliedRevision = NOT_LOADED;
  private long freshAsOfMs = Long.MIN_VALUE;

  /** Creates an empty cache; {@link #start} starts to fill it. */
  public StateCache(Reactor reactor, KeyValueClient store, Settings settings) {
    this.reactor = reactor;
    this.follower = new StoreFollower(reactor, store, this, settings);
  }

  /** Adds a listener that is called with every key that has changed. */
  public void addKeyListener(Consumer<StateKey> listener) {
    keyListeners.add(listener);
  }

  /**
   * Adds a listener that is called when the applied revision or {@link #freshAsOfMs} has advanced.
   */
  public void addProgressListener(Runnable listener) {
    progressListeners.add(listener);
  }

  /** Starts to follow the store. */
  public void start() {
    follower.start();
  }

  /** Returns whether all live keys have been read at least once. */
  public boolean isReady() {
    return appliedRevision != NOT_LOADED;
  }

  /** Returns the revision up to which all changes are applied; negative before the first load. */
  public long appliedRevision() {
    return appliedRevision;
  }

  /**
   * Returns the time before which every commit is in the cache, in milliseconds of the reactor's
   * clock; {@link Long#MIN_VALUE} before the first load.
   */
  public long freshAsOfMs() {
    return freshAsOfMs;
  }

  /** Returns the minimum time between the starts of two watches, in milliseconds. */
  public long watchIntervalMs() {
    return follower.watchIntervalMs();
  }

  /** Returns an accepted job that has not ended; {@code null} if absent or unreadable. */
  public ActiveJob job(String id) {
    return records.job(id);
  }

  /** Returns all active jobs, including those of which only task ranges are left. */
  public Collection<ActiveJob> jobs() {
    return records.jobs();
  }

  /** Returns all active jobs by id, including those of which only task ranges are left. */
  public Map<String, ActiveJob> jobsById() {
    return records.jobsById();
  }

  /** Returns the task ranges of a job by index, even if the job's own record is gone. */
  public NavigableMap<Integer, Versioned<RangeRecord>> rangesOf(String job) {
    return records.rangesOf(job);
  }

  /** Returns a task range; {@code null} if it does not exist. */
  public Versioned<RangeRecord> range(RangeKey key) {
    return rangesOf(key.job()).get(key.index());
  }

  /** Returns the machines of all inventories by name. */
  public Map<String, MachineRecord> machines() {
    return records.machines();
  }

  /** Returns the parts of all inventories. A part that is unreadable now is as it was last read. */
  public Map<InventoryKey, Map<String, MachineRecord>> inventories() {
    return records.inventories();
  }

  /** Returns whether part of a shard's inventory is unreadable; machines may be missing then. */
  public boolean hasUnreadableInventory(String shard) {
    for (String key : unreadableKeys) {
      if (StateKeys.parse(key) instanceof InventoryKey k && k.shard().equals(shard)) {
        return true;
      }
    }
    return false;
  }

  /** Returns how many machines a shard has. */
  public int machineCountOf(String shard) {
    return records.machineCountOf(shard);
  }

  /** Returns which controller leads a shard; {@code null} if that is not known. */
  public Versioned<ShardRecord> shard(String label) {
    return records.shards().get(label);
  }

  /** Returns all shards by name. */
  public Map<String, Versioned<ShardRecord>> shards() {
    return records.shards();
  }

  /** Returns the names of the shards that a controller leads. */
  public List<String> shardsLedBy(String controller) {
    return records.shardsLedBy(controller);
  }

  /** Returns the running controllers by label. */
  public Map<String, Versioned<MemberRecord>> members() {
    return records.members();
  }

  /** Returns a team's quota shares; {@code null} if there are none. */
  public Versioned<QuotaRecord> quota(String team) {
    return records.quota(team);
  }

  /** Returns the version of a key; 0 if the key does not exist. */
  public long version(String key) {
    return versions.getOrDefault(key, ABSENT);
  }

  /** Returns whether the value of a key can be read; {@code true} if the key does not exist. */
  public boolean isReadable(String key) {
    return !unreadableKeys.contains(key);
  }

  /**
   * Calls {@code callback} once a revision has been applied. If it has been applied already, the
   * call happens before this method returns.
   *
   * @param timeoutMs the maximum time to wait, in milliseconds
   * @param callback called with whether the revision was applied before the timeout
   */
  public void awaitRevision(long revision, long timeoutMs, Consumer<Boolean> callback) {
    if (appliedRevision >= revision) {
      callback.accept(true);
      return;
    }
    waiters.add(new Waiter(revision, reactor.nowMs() + timeoutMs, callback));
    reactor.schedule(timeoutMs, this::expireWaiters);
  }

  private void expireWaiters() {
    completeWaiters(waiter -> waiter.deadlineMs() <= reactor.nowMs(), false);
  }

  private void completeWaiters(Predicate<Waiter> condition, boolean applied) {
    List<Waiter> completed = new ArrayList<>();
    for (Iterator<Waiter> remaining = waiters.iterator(); remaining.hasNext(); ) {
      Waiter waiter = remaining.next();
      if (condition.test(waiter)) {
        remaining.remove();
        completed.add(waiter);
      }
    }
    completed.forEach(waiter -> waiter.callback().accept(applied));
  }

  /**
   * Applies the changes of this controller's own transaction without waiting for the watch. Ignores
   * a transaction whose revision has already been applied when its answer arrives: the keys may
   * have been changed or deleted since, and applying the changes would restore deleted keys
   * permanently.
   */
  public void applyCommit(List<KeyValueProtocol.Change> changes, long revision) {
    if (revision <= appliedRevision) {
      return;
    }
    for (KeyValueProtocol.Change change : changes) {
      if (change.key().startsWith(StateKeys.LIVE_PREFIX)) {
        JsonNode value = change instanceof KeyValueProtocol.Put put ? put.value() : null;
        apply(new KeyValueProtocol.Entry(change.key(), value, revision));
      }
    }
  }

  /** Applies one key as it was read, unless the cache already has this or a later version of it. */
  void apply(KeyValueProtocol.Entry entry) {
    String key = entry.key();
    if (entry.version() <= version(key)
        || entry.version() <= deletionRevisions.getOrDefault(key, ABSENT)) {
      return;
    }
    StateKey parsed = StateKeys.parse(key);
    if (entry.value() == null) {
      applyDeletion(key, parsed, entry.version());
    } else {
      applyValue(key, parsed, entry);
    }
    notifyListeners(parsed);
  }

  private void applyDeletion(String key, StateKey parsed, long revision) {
    versions.remove(key);
    unreadableKeys.remove(key);
    if (revision > appliedRevision) {
      deletionRevisions.put(key, revision);
    }
    records.remove(parsed);
  }

  private void applyValue(String key, StateKey parsed, KeyValueProtocol.Entry entry) {
    versions.put(key, entry.version());
    try {
      records.put(parsed, entry.value(), entry.version());
      unreadableKeys.remove(key);
    } catch (UnreadableRecordException e) {
      // The value stays in the store, its key counts as absent, and other keys are not affected.
      if (unreadableKeys.add(key)) {
        LOG.atError()
            .addKeyValue("key", key)
            .addKeyValue("reason", e.getMessage())
            .log("unreadable value at state key");
      }
      records.markUnreadable(parsed);
    }
  }

  /** Removes the keys that a reload has not listed, unless they are newer than its first page. */
  void removeUnlisted(Set<String> listedKeys, long revision) {
    for (String key : List.copyOf(versions.keySet())) {
      if (!listedKeys.contains(key) && version(key) <= revision) {
        apply(new KeyValueProtocol.Entry(key, null, revision));
      }
    }
  }

  /**
   * Called when all changes up to a revision have been applied, which include everything that was
   * committed before the given time. The state may count as fresh only from now on.
   */
  void advance(long revision, long asOfMs) {
    logGap(revision, asOfMs);
    freshAsOfMs = asOfMs;
    appliedRevision = Math.max(appliedRevision, revision);
    deletionRevisions.values().removeIf(deleted -> deleted <= appliedRevision);
    completeWaiters(waiter -> waiter.revision() <= appliedRevision, true);
    progressListeners.forEach(Runnable::run);
  }

  /**
   * Logs the end of a period without reads, for example after an outage: which revisions were read,
   * and how old the state had become.
   */
  private void logGap(long revision, long asOfMs) {
    long gapMs = asOfMs - freshAsOfMs;
    if (freshAsOfMs != Long.MIN_VALUE && gapMs > follower.staleAfterMs()) {
      LOG.atInfo()
          .addKeyValue("fromRevision", appliedRevision)
          .addKeyValue("toRevision", revision)
          .addKeyValue("gapMs", gapMs)
          .log("state followed again");
    }
  }

  private void notifyListeners(StateKey key) {
    keyListeners.forEach(listener -> listener.accept(key));
  }
}
