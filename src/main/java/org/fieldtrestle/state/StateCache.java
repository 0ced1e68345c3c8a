package org.fieldtrestle.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.state.Records.RangeKey;
import org.fieldtrestle.transport.Reactor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the state service held at the revision that this controller has followed it to, and our own
 * commits on top. Others read it and are told of every key that changes.
 */
public final class StateCache {
  private static final Logger LOG = LoggerFactory.getLogger(StateCache.class);

  /** A record and its version. */
  public record Versioned<T>(T record, long version) {}

  /**
   * An accepted job that has not ended, with its ranges. A range of version 0 has no record of its
   * own yet: it is as the job's record names it.
   */
  public static final class ActiveJob {
    private Versioned<Records.Job> job;
    private final TreeMap<Integer, Versioned<Records.Range>> ranges = new TreeMap<>();

    public Versioned<Records.Job> job() {
      return job;
    }

    public TreeMap<Integer, Versioned<Records.Range>> ranges() {
      return ranges;
    }

    public boolean complete() {
      if (job == null || ranges.isEmpty()) {
        return false;
      }
      int tasks = 0;
      for (Versioned<Records.Range> range : ranges.values()) {
        if (!range.record().complete()) {
          return false;
        }
        tasks += range.record().size();
      }
      return tasks == job.record().spec().tasks();
    }

    public int done() {
      int done = 0;
      for (Versioned<Records.Range> range : ranges.values()) {
        done += range.record().done().cardinality();
      }
      return done;
    }
  }

  /** What opening a watch and reading its answer costs of a whole core, about. */
  private static final double WATCH_COST_MS = 0.5;

  /** Part of this controller's processor time that following changes may take. */
  private static final double WATCH_CPU_PART = 0.05;

  /** After a failure the state service is asked again once so many gaps between watches went by. */
  private static final int RETRY_GAPS = 4;

  /** Likewise once that has failed too. */
  private static final int LONG_RETRY_GAPS = 8;

  /** Watches that fail in a row before everything is read anew. */
  private static final int MOST_FAILED_WATCHES = 2;

  /** For how many times of a watch's wait nothing may have been followed before that. */
  private static final int STALE_WAITS = 2;

  private final Reactor reactor;
  private final KeyValueClient store;
  private final long watchIntervalMs;
  private final long watchWaitMs;
  private final Map<String, ActiveJob> jobs = new HashMap<>();
  private final Map<String, Records.Machine> machines = new HashMap<>();
  private final Map<Records.InventoryKey, Map<String, Records.Machine>> inventories =
      new HashMap<>();
  private final Map<String, Versioned<Records.Shard>> shards = new HashMap<>();
  private final Map<String, Versioned<Records.Member>> members = new HashMap<>();
  private final Map<String, Versioned<Records.Quota>> quotas = new HashMap<>();
  private final Map<String, Long> versions = new HashMap<>();
  private final Map<String, Long> removed = new HashMap<>();
  private final Set<String> unreadable = new HashSet<>();
  private final List<Consumer<Records.Key>> listeners = new ArrayList<>();
  private final List<Waiting> waiting = new ArrayList<>();
  private long followed = -1;
  private final List<Runnable> progressListeners = new ArrayList<>();
  private boolean watching;
  private long lastWatch;
  private int failedWatches;
  private long freshAsOf = Long.MIN_VALUE;

  private record Waiting(long revision, long until, Consumer<Boolean> done) {}

  public StateCache(Reactor reactor, KeyValueClient store, Settings settings) {
    this.reactor = reactor;
    this.store = store;
    // Reopened watches may take a quarter of the requests that are allowed, and a small part of
    // the processor.
    this.watchIntervalMs =
        Math.round(
            Math.max(
                4000 / settings.share(settings.state().rps()),
                WATCH_COST_MS / (settings.limits().cpuShare() * WATCH_CPU_PART)));
    this.watchWaitMs = settings.stateLeaseMs() / 6;
  }

  public void listen(Consumer<Records.Key> listener) {
    listeners.add(listener);
  }

  /** Adds somebody who is told whenever the state has been followed further. */
  public void addProgressListener(Runnable listener) {
    progressListeners.add(listener);
  }

  public void start() {
    reload();
  }

  /** True once everything has been read. */
  public boolean ready() {
    return followed >= 0;
  }

  public long appliedRevision() {
    return followed;
  }

  public ActiveJob job(String id) {
    ActiveJob job = jobs.get(id);
    return job == null || job.job == null ? null : job;
  }

  public Collection<ActiveJob> jobs() {
    return jobs.values();
  }

  /** The ranges of a job, also of one that is no longer live. */
  public NavigableMap<Integer, Versioned<Records.Range>> rangesOf(String job) {
    ActiveJob live = jobs.get(job);
    return live == null ? Collections.emptyNavigableMap() : live.ranges;
  }

  public Versioned<Records.Range> range(RangeKey key) {
    return rangesOf(key.job()).get(key.index());
  }

  public Map<String, ActiveJob> all() {
    return jobs;
  }

  public Map<String, Records.Machine> machines() {
    return machines;
  }

  /** The parts of all rosters, as far as they could ever be read. */
  public Map<Records.InventoryKey, Map<String, Records.Machine>> inventories() {
    return inventories;
  }

  /** Whether a part of a shard's roster cannot be read, so that machines of it may be missing. */
  public boolean isInventoryDamaged(String shard) {
    for (String key : unreadable) {
      if (Records.key(key) instanceof Records.InventoryKey k && k.shard().equals(shard)) {
        return true;
      }
    }
    return false;
  }

  public Versioned<Records.Shard> shard(String label) {
    return shards.get(label);
  }

  public Map<String, Versioned<Records.Shard>> shards() {
    return shards;
  }

  /** The shards that a controller acts as. */
  public List<String> shardsLedBy(String holder) {
    List<String> all = new ArrayList<>();
    shards.forEach(
        (name, kept) -> {
          if (kept.record().holder().equals(holder)) {
            all.add(name);
          }
        });
    return all;
  }

  /** How many machines a shard has. */
  public int machineCountOf(String shard) {
    int count = 0;
    for (Map.Entry<Records.InventoryKey, Map<String, Records.Machine>> part :
        inventories.entrySet()) {
      count += part.getKey().shard().equals(shard) ? part.getValue().size() : 0;
    }
    return count;
  }

  public Map<String, Versioned<Records.Member>> members() {
    return members;
  }

  public Versioned<Records.Quota> quota(String team) {
    return quotas.get(team);
  }

  public long watchIntervalMs() {
    return watchIntervalMs;
  }

  /** Everything that happened before this time is known here. */
  public long freshAsOf() {
    return freshAsOf;
  }

  /** The version of a key; 0 where it does not exist. */
  public long version(String key) {
    return versions.getOrDefault(key, 0L);
  }

  /** Calls back once everything up to a revision has been seen; false when that took too long. */
  public void await(long revision, long withinMs, Consumer<Boolean> done) {
    if (followed >= revision) {
      done.accept(true);
      return;
    }
    waiting.add(new Waiting(revision, reactor.now() + withinMs, done));
    reactor.schedule(withinMs, this::expire);
  }

  private void expire() {
    settle(w -> w.until() <= reactor.now(), false);
  }

  private void settle(java.util.function.Predicate<Waiting> which, boolean outcome) {
    List<Waiting> over = new ArrayList<>();
    for (Iterator<Waiting> all = waiting.iterator(); all.hasNext(); ) {
      Waiting one = all.next();
      if (which.test(one)) {
        all.remove();
        over.add(one);
      }
    }
    over.forEach(w -> w.done().accept(outcome));
  }

  /**
   * Reading everything, page by page. A page that fails is asked for again, after growing pauses;
   * the pages before it are kept, as whatever changed since the first one comes by the watch that
   * begins there.
   */
  private final class Reload {
    private final long startedAt = reactor.now();
    private final Set<String> seen = new HashSet<>();
    private String lastKey = "";
    private long firstRevision = -1;
    private long pauseMs = watchIntervalMs * RETRY_GAPS;

    void nextPage() {
      store.listUnthrottled(Records.LIVE, lastKey, this::received);
    }

    private void received(KeyValueProtocol.Listing page) {
      if (page == null) {
        reactor.schedule(pauseMs, this::nextPage);
        pauseMs = watchIntervalMs * LONG_RETRY_GAPS;
        return;
      }
      if (firstRevision < 0) {
        firstRevision = page.revision();
      }
      for (KeyValueProtocol.Entry entry : page.entries()) {
        seen.add(entry.key());
        apply(entry);
        lastKey = entry.key();
      }
      if (page.more() && !page.entries().isEmpty()) {
        nextPage();
      } else {
        finish();
      }
    }

    private void finish() {
      for (String key : List.copyOf(versions.keySet())) {
        if (!seen.contains(key) && version(key) <= firstRevision) {
          apply(new KeyValueProtocol.Entry(key, null, firstRevision));
        }
      }
      advance(firstRevision, startedAt);
      LOG.info(
          "state read up to revision {}: {} jobs, {} machines",
          firstRevision,
          jobs.size(),
          machines.size());
      watch();
    }
  }

  private void reload() {
    failedWatches = 0;
    new Reload().nextPage();
  }

  private void watch() {
    if (watching) {
      return;
    }
    watching = true;
    lastWatch = reactor.now();
    store.watch(
        Records.LIVE,
        followed,
        watchWaitMs,
        watched -> {
          watching = false;
          if (watched instanceof KeyValueClient.Changes changes) {
            failedWatches = 0;
            changes.events().events().forEach(this::apply);
            advance(changes.events().revision(), lastWatch);
            long gap = Math.max(0, lastWatch + watchIntervalMs - reactor.now());
            reactor.schedule(gap, this::watch);
          } else if (watched instanceof KeyValueClient.TooOld) {
            LOG.info("watch from {} is too old, reading everything again", followed);
            reload();
          } else if (watched instanceof KeyValueClient.NotServed) {
            reactor.schedule(watchIntervalMs * RETRY_GAPS, this::watch);
          } else {
            watchFailed();
          }
        });
  }

  /**
   * An answer holds all changes since where the watch began and has no limit, so that after a long
   * failure it may be larger than what we take, and would fail again and again; the pages of a
   * reading are bounded.
   */
  private void watchFailed() {
    failedWatches++;
    boolean longAgo = reactor.now() - freshAsOf > STALE_WAITS * watchWaitMs;
    if (failedWatches >= MOST_FAILED_WATCHES && longAgo) {
      LOG.warn("watches from {} fail, reading everything again", followed);
      reactor.schedule(watchIntervalMs * RETRY_GAPS, this::reload);
    } else {
      reactor.schedule(watchIntervalMs * RETRY_GAPS, this::watch);
    }
  }

  /**
   * Everything up to a revision has been taken in, and with it everything that was committed before
   * a time. Only now may anybody act on the state as fresh.
   */
  private void advance(long revision, long asOf) {
    logGap(revision, asOf);
    freshAsOf = asOf;
    followed = Math.max(followed, revision);
    removed.values().removeIf(r -> r <= followed);
    settle(w -> w.revision() <= followed, true);
    progressListeners.forEach(Runnable::run);
  }

  /** After a pause in following, as in an outage: what was read then, and how old it had been. */
  private void logGap(long revision, long asOf) {
    long gapMs = asOf - freshAsOf;
    if (freshAsOf != Long.MIN_VALUE && gapMs > STALE_WAITS * watchWaitMs) {
      LOG.atInfo()
          .addKeyValue("fromRevision", followed)
          .addKeyValue("toRevision", revision)
          .addKeyValue("gapMs", gapMs)
          .log("state followed again");
    }
  }

  /**
   * Takes in the changes of a transaction of our own without waiting for the watch. An answer that
   * comes after its revision was followed tells nothing new: what it wrote may have been changed or
   * removed since, and applying it would bring removed keys back for good.
   */
  public void committed(List<KeyValueProtocol.Change> changes, long revision) {
    if (revision <= followed) {
      return;
    }
    for (KeyValueProtocol.Change change : changes) {
      if (change.key().startsWith(Records.LIVE)) {
        JsonNode value = change instanceof KeyValueProtocol.Put put ? put.value() : null;
        apply(new KeyValueProtocol.Entry(change.key(), value, revision));
      }
    }
  }

  private void apply(KeyValueProtocol.Entry entry) {
    String key = entry.key();
    if (entry.version() <= version(key) || entry.version() <= removed.getOrDefault(key, 0L)) {
      return;
    }
    Records.Key parsed = Records.key(key);
    if (entry.value() == null) {
      versions.remove(key);
      unreadable.remove(key);
      if (entry.version() > followed) {
        removed.put(key, entry.version());
      }
      remove(parsed);
    } else {
      versions.put(key, entry.version());
      try {
        put(parsed, entry.value(), entry.version());
        unreadable.remove(key);
      } catch (Records.UnreadableRecordException e) {
        // Contained: the key is left as it is and counts as absent, all others go on.
        if (unreadable.add(key)) {
          LOG.error("unreadable value at state key {}: {}", key, e.getMessage());
        }
        hide(parsed);
      }
    }
    tell(parsed);
  }

  private void tell(Records.Key key) {
    listeners.forEach(listener -> listener.accept(key));
  }

  public boolean readable(String key) {
    return !unreadable.contains(key);
  }

  private void put(Records.Key key, JsonNode value, long version)
      throws Records.UnreadableRecordException {
    if (key instanceof Records.JobKey k) {
      Records.Job job = Records.readJob(value);
      ActiveJob live = jobs.computeIfAbsent(k.job(), id -> new ActiveJob());
      if (live.job == null) {
        for (int i = 0; i < job.parts().size(); i++) {
          live.ranges.putIfAbsent(i, new Versioned<>(job.range(i), 0));
        }
      }
      live.job = new Versioned<>(job, version);
    } else if (key instanceof RangeKey k) {
      jobs.computeIfAbsent(k.job(), id -> new ActiveJob())
          .ranges
          .put(k.index(), new Versioned<>(Records.readRange(value), version));
    } else if (key instanceof Records.InventoryKey k) {
      inventory(k, Records.readInventory(k, value));
    } else if (key instanceof Records.ShardKey k) {
      shards.put(k.shard(), new Versioned<>(Records.readShard(value), version));
    } else if (key instanceof Records.MemberKey k) {
      members.put(k.label(), new Versioned<>(Records.readMember(value), version));
    } else if (key instanceof Records.QuotaKey k) {
      quotas.put(k.team(), new Versioned<>(Records.readQuota(value), version));
    } else if (key instanceof Records.ForeignKey k) {
      throw new Records.UnreadableRecordException(Records.foreign(k.key()));
    }
  }

  /** Takes over a part of a roster, and tells of each machine that is not as it was. */
  private void inventory(Records.InventoryKey key, Map<String, Records.Machine> now) {
    Map<String, Records.Machine> before = inventories.getOrDefault(key, Map.of());
    inventories.put(key, now);
    before.forEach(
        (id, machine) -> {
          if (!now.containsKey(id) && machine.equals(machines.get(id))) {
            machines.remove(id);
            tell(new Records.MachineKey(id));
          }
        });
    now.forEach(
        (id, machine) -> {
          if (!machine.equals(machines.put(id, machine))) {
            tell(new Records.MachineKey(id));
          }
        });
  }

  /**
   * A value that cannot be read counts as absent, but for what would be thought gone with it: tasks
   * may be on the machines of a roster, and ranges that only their job's record names are not done.
   */
  private void hide(Records.Key key) {
    if (key instanceof Records.JobKey k) {
      if (jobs.containsKey(k.job())) {
        jobs.get(k.job()).job = null;
      }
    } else if (!(key instanceof Records.InventoryKey)) {
      remove(key);
    }
  }

  private void remove(Records.Key key) {
    if (key instanceof Records.JobKey k) {
      ActiveJob job = jobs.get(k.job());
      if (job != null) {
        job.job = null;
        job.ranges.values().removeIf(range -> range.version() == 0);
        dropEmpty(k.job(), job);
      }
    } else if (key instanceof RangeKey k) {
      ActiveJob job = jobs.get(k.job());
      if (job != null) {
        job.ranges.remove(k.index());
        dropEmpty(k.job(), job);
      }
    } else if (key instanceof Records.InventoryKey k) {
      inventory(k, Map.of());
      inventories.remove(k);
    } else if (key instanceof Records.ShardKey k) {
      shards.remove(k.shard());
    } else if (key instanceof Records.MemberKey k) {
      members.remove(k.label());
    } else if (key instanceof Records.QuotaKey k) {
      quotas.remove(k.team());
    }
  }

  private void dropEmpty(String id, ActiveJob job) {
    if (job.job == null && job.ranges.isEmpty()) {
      jobs.remove(id);
    }
  }
}
