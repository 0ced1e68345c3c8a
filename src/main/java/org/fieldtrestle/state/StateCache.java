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
 * What the key-value store held at the applied revision, and this controller's own commits on top.
 * Listeners are called for every key that changes. All methods are called on the event loop's
 * thread; collections that are returned are live views and must not be changed.
 */
public final class StateCache {
  private static final Logger LOG = LoggerFactory.getLogger(StateCache.class);
  private static final long NOT_LOADED = -1;
  private static final long ABSENT = 0;

  /** A caller of {@link #awaitRevision}. */
  private record Waiter(long revision, long deadline, Consumer<Boolean> done) {}

  private final Reactor reactor;
  private final StoreFollower follower;
  private final CachedRecords records = new CachedRecords(this::notifyListeners);
  private final Map<String, Long> versions = new HashMap<>();

  /** Revisions of deletions beyond the applied revision, so that older values are not put back. */
  private final Map<String, Long> deletedAt = new HashMap<>();

  private final Set<String> unreadable = new HashSet<>();
  private final List<Consumer<StateKey>> keyListeners = new ArrayList<>();
  private final List<Runnable> progressListeners = new ArrayList<>();
  private final List<Waiter> waiters = new ArrayList<>();
  private long appliedRevision = NOT_LOADED;
  private long freshAsOf = Long.MIN_VALUE;

  /** Creates an empty cache; {@link #start} begins to fill it. */
  public StateCache(Reactor reactor, KeyValueClient store, Settings settings) {
    this.reactor = reactor;
    this.follower = new StoreFollower(reactor, store, this, settings);
  }

  /** Adds a listener that is called with every key that has changed. */
  public void addKeyListener(Consumer<StateKey> listener) {
    keyListeners.add(listener);
  }

  /** Adds a listener that is called whenever the applied revision or its time has advanced. */
  public void addProgressListener(Runnable listener) {
    progressListeners.add(listener);
  }

  /** Begins to follow the store. */
  public void start() {
    follower.start();
  }

  /** Whether everything has been read once. */
  public boolean isReady() {
    return appliedRevision != NOT_LOADED;
  }

  /** Every change up to this revision is known here; below 0 while nothing has been read. */
  public long appliedRevision() {
    return appliedRevision;
  }

  /** Time in ms on the reactor's clock: every change that was committed before it is known here. */
  public long freshAsOf() {
    return freshAsOf;
  }

  /** Least time between two readings of changes, in ms. */
  public long watchIntervalMs() {
    return follower.watchIntervalMs();
  }

  /** An accepted job that has not ended; null where there is none, or its record is unreadable. */
  public ActiveJob job(String id) {
    return records.job(id);
  }

  /** All active jobs, also those of which only records of ranges are left. */
  public Collection<ActiveJob> jobs() {
    return records.jobs();
  }

  /** All active jobs by id, also those of which only records of ranges are left. */
  public Map<String, ActiveJob> jobsById() {
    return records.jobsById();
  }

  /** The ranges of a job by index, also where only they are left of it. */
  public NavigableMap<Integer, Versioned<RangeRecord>> rangesOf(String job) {
    return records.rangesOf(job);
  }

  /** A task range, or null where there is none. */
  public Versioned<RangeRecord> range(RangeKey key) {
    return rangesOf(key.job()).get(key.index());
  }

  /** The machines of all inventories by name. */
  public Map<String, MachineRecord> machines() {
    return records.machines();
  }

  /** The parts of all inventories, as they could last be read. */
  public Map<InventoryKey, Map<String, MachineRecord>> inventories() {
    return records.inventories();
  }

  /** Whether a part of a shard's inventory cannot be read, so that machines may be missing. */
  public boolean isInventoryDamaged(String shard) {
    for (String key : unreadable) {
      if (StateKeys.parse(key) instanceof InventoryKey k && k.shard().equals(shard)) {
        return true;
      }
    }
    return false;
  }

  /** How many machines a shard has. */
  public int machineCountOf(String shard) {
    return records.machineCountOf(shard);
  }

  /** Which controller leads a shard, or null where that is not known. */
  public Versioned<ShardRecord> shard(String label) {
    return records.shards().get(label);
  }

  /** All shards by name. */
  public Map<String, Versioned<ShardRecord>> shards() {
    return records.shards();
  }

  /** The shards that a controller leads. */
  public List<String> shardsLedBy(String controller) {
    return records.shardsLedBy(controller);
  }

  /** The running controllers by label. */
  public Map<String, Versioned<MemberRecord>> members() {
    return records.members();
  }

  /** A team's quota shares, or null where there are none. */
  public Versioned<QuotaRecord> quota(String team) {
    return records.quota(team);
  }

  /** The version of a key; 0 where it does not exist. */
  public long version(String key) {
    return versions.getOrDefault(key, ABSENT);
  }

  /** Whether the value of a key can be read; also true where the key does not exist. */
  public boolean isReadable(String key) {
    return !unreadable.contains(key);
  }

  /**
   * Calls back once a revision has been applied, at once where it already is.
   *
   * @param timeoutMs how long to wait at the most
   * @param done is given true, or false when the time ran out
   */
  public void awaitRevision(long revision, long timeoutMs, Consumer<Boolean> done) {
    if (appliedRevision >= revision) {
      done.accept(true);
      return;
    }
    waiters.add(new Waiter(revision, reactor.nowMs() + timeoutMs, done));
    reactor.schedule(timeoutMs, this::expireWaiters);
  }

  private void expireWaiters() {
    release(waiter -> waiter.deadline() <= reactor.nowMs(), false);
  }

  private void release(Predicate<Waiter> which, boolean seen) {
    List<Waiter> released = new ArrayList<>();
    for (Iterator<Waiter> remaining = waiters.iterator(); remaining.hasNext(); ) {
      Waiter waiter = remaining.next();
      if (which.test(waiter)) {
        remaining.remove();
        released.add(waiter);
      }
    }
    released.forEach(waiter -> waiter.done().accept(seen));
  }

  /**
   * Applies the changes of this controller's own transaction without waiting for the watch. One
   * that is answered after its revision was applied is left out: what it wrote may have been
   * changed or deleted since, and applying it would bring deleted keys back for good.
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

  /** Applies one key as read, unless a later version of it is known. */
  void apply(KeyValueProtocol.Entry entry) {
    String key = entry.key();
    if (entry.version() <= version(key) || entry.version() <= deletedAt.getOrDefault(key, ABSENT)) {
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
    unreadable.remove(key);
    if (revision > appliedRevision) {
      deletedAt.put(key, revision);
    }
    records.remove(parsed);
  }

  private void applyValue(String key, StateKey parsed, KeyValueProtocol.Entry entry) {
    versions.put(key, entry.version());
    try {
      records.put(parsed, entry.value(), entry.version());
      unreadable.remove(key);
    } catch (UnreadableRecordException e) {
      // Contained: this key is left as it is in the store and counts as absent, all others go on.
      if (unreadable.add(key)) {
        LOG.atError()
            .addKeyValue("key", key)
            .addKeyValue("reason", e.getMessage())
            .log("unreadable value at state key");
      }
      records.hide(parsed);
    }
  }

  /** Deletes all keys that a reload has not seen and that are not newer than its first revision. */
  void removeUnseen(Set<String> seen, long revision) {
    for (String key : List.copyOf(versions.keySet())) {
      if (!seen.contains(key) && version(key) <= revision) {
        apply(new KeyValueProtocol.Entry(key, null, revision));
      }
    }
  }

  /**
   * Ends the application of all changes up to a revision, and with them of everything that was
   * committed before a time. Only now may the state count as fresh.
   */
  void advance(long revision, long asOf) {
    logGap(revision, asOf);
    freshAsOf = asOf;
    appliedRevision = Math.max(appliedRevision, revision);
    deletedAt.values().removeIf(deleted -> deleted <= appliedRevision);
    release(waiter -> waiter.revision() <= appliedRevision, true);
    progressListeners.forEach(Runnable::run);
  }

  /**
   * Logs the end of a pause in following, as after an outage: what was read, and how old it was.
   */
  private void logGap(long revision, long asOf) {
    long gapMs = asOf - freshAsOf;
    if (freshAsOf != Long.MIN_VALUE && gapMs > follower.staleAfterMs()) {
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
