package org.fieldtrestle.bookkeeping;

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
import org.fieldtrestle.bookkeeping.Records.RangeKey;
import org.fieldtrestle.protocol.Settings;
import org.fieldtrestle.protocol.StateWire;
import org.fieldtrestle.transport.Reactor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the state service held at the revision that this controller has followed it to, and our own
 * commits on top. Others read it and are told of every key that changes.
 */
public final class View {
  private static final Logger LOG = LoggerFactory.getLogger(View.class);

  /** A record and its version. */
  public record Kept<T>(T record, long version) {}

  /**
   * An accepted job that has not ended, with its ranges. A range of version 0 has no record of its
   * own yet: it is as the job's record names it.
   */
  public static final class LiveJob {
    private Kept<Records.Job> job;
    private final TreeMap<Integer, Kept<Records.Range>> ranges = new TreeMap<>();

    public Kept<Records.Job> job() {
      return job;
    }

    public TreeMap<Integer, Kept<Records.Range>> ranges() {
      return ranges;
    }

    public boolean complete() {
      if (job == null || ranges.isEmpty()) {
        return false;
      }
      int tasks = 0;
      for (Kept<Records.Range> range : ranges.values()) {
        if (!range.record().complete()) {
          return false;
        }
        tasks += range.record().size();
      }
      return tasks == job.record().spec().tasks();
    }

    public int done() {
      int done = 0;
      for (Kept<Records.Range> range : ranges.values()) {
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
  private final Store store;
  private final long watchGapMs;
  private final long watchWaitMs;
  private final Map<String, LiveJob> jobs = new HashMap<>();
  private final Map<String, Records.Machine> machines = new HashMap<>();
  private final Map<Records.RosterKey, Map<String, Records.Machine>> rosters = new HashMap<>();
  private final Map<String, Kept<Records.Master>> masters = new HashMap<>();
  private final Map<String, Kept<Records.Member>> members = new HashMap<>();
  private final Map<String, Kept<Records.Quota>> quotas = new HashMap<>();
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
  private long freshAt = Long.MIN_VALUE;

  private record Waiting(long revision, long until, Consumer<Boolean> done) {}

  public View(Reactor reactor, Store store, Settings settings) {
    this.reactor = reactor;
    this.store = store;
    // Reopened watches may take a quarter of the requests that are allowed, and a small part of
    // the processor.
    this.watchGapMs =
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
  public void listenProgress(Runnable listener) {
    progressListeners.add(listener);
  }

  public void start() {
    reload();
  }

  /** True once everything has been read. */
  public boolean ready() {
    return followed >= 0;
  }

  public long followed() {
    return followed;
  }

  public LiveJob job(String id) {
    LiveJob job = jobs.get(id);
    return job == null || job.job == null ? null : job;
  }

  public Collection<LiveJob> jobs() {
    return jobs.values();
  }

  /** The ranges of a job, also of one that is no longer live. */
  public NavigableMap<Integer, Kept<Records.Range>> rangesOf(String job) {
    LiveJob live = jobs.get(job);
    return live == null ? Collections.emptyNavigableMap() : live.ranges;
  }

  public Kept<Records.Range> range(RangeKey key) {
    return rangesOf(key.job()).get(key.index());
  }

  public Map<String, LiveJob> all() {
    return jobs;
  }

  public Map<String, Records.Machine> machines() {
    return machines;
  }

  /** The parts of all rosters, as far as they could ever be read. */
  public Map<Records.RosterKey, Map<String, Records.Machine>> rosters() {
    return rosters;
  }

  /** Whether a part of a master's roster cannot be read, so that machines of it may be missing. */
  public boolean rosterDamaged(String master) {
    for (String key : unreadable) {
      if (Records.key(key) instanceof Records.RosterKey k && k.master().equals(master)) {
        return true;
      }
    }
    return false;
  }

  public Kept<Records.Master> master(String label) {
    return masters.get(label);
  }

  public Map<String, Kept<Records.Master>> masters() {
    return masters;
  }

  /** The masters that a controller acts as. */
  public List<String> mastersOf(String holder) {
    List<String> all = new ArrayList<>();
    masters.forEach(
        (name, kept) -> {
          if (kept.record().holder().equals(holder)) {
            all.add(name);
          }
        });
    return all;
  }

  /** How many machines a master has. */
  public int machinesOf(String master) {
    int count = 0;
    for (Map.Entry<Records.RosterKey, Map<String, Records.Machine>> part : rosters.entrySet()) {
      count += part.getKey().master().equals(master) ? part.getValue().size() : 0;
    }
    return count;
  }

  public Map<String, Kept<Records.Member>> members() {
    return members;
  }

  public Kept<Records.Quota> quota(String team) {
    return quotas.get(team);
  }

  public long watchGapMs() {
    return watchGapMs;
  }

  /** Everything that happened before this time is known here. */
  public long freshAt() {
    return freshAt;
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
    private long pauseMs = watchGapMs * RETRY_GAPS;

    void nextPage() {
      store.listAtOnce(Records.LIVE, lastKey, this::received);
    }

    private void received(StateWire.Listing page) {
      if (page == null) {
        reactor.schedule(pauseMs, this::nextPage);
        pauseMs = watchGapMs * LONG_RETRY_GAPS;
        return;
      }
      if (firstRevision < 0) {
        firstRevision = page.revision();
      }
      for (StateWire.Entry entry : page.entries()) {
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
          apply(new StateWire.Entry(key, null, firstRevision));
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
          if (watched instanceof Store.Changes changes) {
            failedWatches = 0;
            changes.events().events().forEach(this::apply);
            advance(changes.events().revision(), lastWatch);
            long gap = Math.max(0, lastWatch + watchGapMs - reactor.now());
            reactor.schedule(gap, this::watch);
          } else if (watched instanceof Store.TooOld) {
            LOG.info("watch from {} is too old, reading everything again", followed);
            reload();
          } else if (watched instanceof Store.NotServed) {
            reactor.schedule(watchGapMs * RETRY_GAPS, this::watch);
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
    boolean longAgo = reactor.now() - freshAt > STALE_WAITS * watchWaitMs;
    if (failedWatches >= MOST_FAILED_WATCHES && longAgo) {
      LOG.warn("watches from {} fail, reading everything again", followed);
      reactor.schedule(watchGapMs * RETRY_GAPS, this::reload);
    } else {
      reactor.schedule(watchGapMs * RETRY_GAPS, this::watch);
    }
  }

  /**
   * Everything up to a revision has been taken in, and with it everything that was committed before
   * a time. Only now may anybody act on the state as fresh.
   */
  private void advance(long revision, long asOf) {
    logGap(revision, asOf);
    freshAt = asOf;
    followed = Math.max(followed, revision);
    removed.values().removeIf(r -> r <= followed);
    settle(w -> w.revision() <= followed, true);
    progressListeners.forEach(Runnable::run);
  }

  /** After a pause in following, as in an outage: what was read then, and how old it had been. */
  private void logGap(long revision, long asOf) {
    long gapMs = asOf - freshAt;
    if (freshAt != Long.MIN_VALUE && gapMs > STALE_WAITS * watchWaitMs) {
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
  public void committed(List<StateWire.Change> changes, long revision) {
    if (revision <= followed) {
      return;
    }
    for (StateWire.Change change : changes) {
      if (change.key().startsWith(Records.LIVE)) {
        JsonNode value = change instanceof StateWire.Put put ? put.value() : null;
        apply(new StateWire.Entry(change.key(), value, revision));
      }
    }
  }

  private void apply(StateWire.Entry entry) {
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
      } catch (Records.Unreadable e) {
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

  private void put(Records.Key key, JsonNode value, long version) throws Records.Unreadable {
    if (key instanceof Records.JobKey k) {
      Records.Job job = Records.readJob(value);
      LiveJob live = jobs.computeIfAbsent(k.job(), id -> new LiveJob());
      if (live.job == null) {
        for (int i = 0; i < job.parts().size(); i++) {
          live.ranges.putIfAbsent(i, new Kept<>(job.range(i), 0));
        }
      }
      live.job = new Kept<>(job, version);
    } else if (key instanceof RangeKey k) {
      jobs.computeIfAbsent(k.job(), id -> new LiveJob())
          .ranges
          .put(k.index(), new Kept<>(Records.readRange(value), version));
    } else if (key instanceof Records.RosterKey k) {
      roster(k, Records.readRoster(k, value));
    } else if (key instanceof Records.MasterKey k) {
      masters.put(k.master(), new Kept<>(Records.readMaster(value), version));
    } else if (key instanceof Records.MemberKey k) {
      members.put(k.label(), new Kept<>(Records.readMember(value), version));
    } else if (key instanceof Records.QuotaKey k) {
      quotas.put(k.team(), new Kept<>(Records.readQuota(value), version));
    } else if (key instanceof Records.ForeignKey k) {
      throw new Records.Unreadable(Records.foreign(k.key()));
    }
  }

  /** Takes over a part of a roster, and tells of each machine that is not as it was. */
  private void roster(Records.RosterKey key, Map<String, Records.Machine> now) {
    Map<String, Records.Machine> before = rosters.getOrDefault(key, Map.of());
    rosters.put(key, now);
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
    } else if (!(key instanceof Records.RosterKey)) {
      remove(key);
    }
  }

  private void remove(Records.Key key) {
    if (key instanceof Records.JobKey k) {
      LiveJob job = jobs.get(k.job());
      if (job != null) {
        job.job = null;
        job.ranges.values().removeIf(range -> range.version() == 0);
        dropEmpty(k.job(), job);
      }
    } else if (key instanceof RangeKey k) {
      LiveJob job = jobs.get(k.job());
      if (job != null) {
        job.ranges.remove(k.index());
        dropEmpty(k.job(), job);
      }
    } else if (key instanceof Records.RosterKey k) {
      roster(k, Map.of());
      rosters.remove(k);
    } else if (key instanceof Records.MasterKey k) {
      masters.remove(k.master());
    } else if (key instanceof Records.MemberKey k) {
      members.remove(k.label());
    } else if (key instanceof Records.QuotaKey k) {
      quotas.remove(k.team());
    }
  }

  private void dropEmpty(String id, LiveJob job) {
    if (job.job == null && job.ranges.isEmpty()) {
      jobs.remove(id);
    }
  }
}
