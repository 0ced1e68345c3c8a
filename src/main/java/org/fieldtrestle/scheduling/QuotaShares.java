package org.fieldtrestle.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.protocol.MachineType;
import org.fieldtrestle.state.CommitResult;
import org.fieldtrestle.state.QuotaAmount;
import org.fieldtrestle.state.QuotaRecord;
import org.fieldtrestle.state.StateChanges;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.state.Transaction;
import org.fieldtrestle.state.Versioned;
import org.fieldtrestle.worker.LeadershipTerm;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.TaskRanges;
import org.fieldtrestle.worker.TeamUsage;
import org.fieldtrestle.worker.Worker;
import org.fieldtrestle.worker.WorkerRegistry;

/**
 * This shard's shares of the teams' quotas. A share grows by compare-and-swap out of what no other
 * shard has, and shrinks no further than what the shard's tasks may be using.
 */
public final class QuotaShares {
  /** Tolerance for rounding in sums of resources. */
  private static final double ROUNDING = 1e-6;

  /** Resources of a machine of unknown type: more than any quota, though a few can be added. */
  private static final double UNKNOWN_MACHINE = Double.MAX_VALUE / 4;

  /** How long a share is larger than needed before it shrinks, in heartbeat intervals. */
  private static final double SHRINK_AFTER_HEARTBEATS = 2;

  /** Watch intervals after a failed write, or one of unknown outcome, before the next. */
  private static final int RETRY_WATCH_INTERVALS = 2;

  /** A smaller share that may have been written over a version of the quota's record. */
  private record PendingShrink(long version, QuotaAmount share) {}

  /**
   * What a team's tasks on this shard need.
   *
   * @param used what its tasks may be using now
   * @param total what its tasks use and wait for
   * @param smallestTask the least that a waiting task asks for, each resource by itself
   */
  private record Demand(QuotaAmount used, QuotaAmount total, QuotaAmount smallestTask) {}

  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final TaskRanges ranges;
  private final ControllerContext context;
  private final Map<String, PendingShrink> pendingShrinks = new HashMap<>();
  private final Set<String> writing = new HashSet<>();

  /** Since when a team's share could shrink, in ms. */
  private final Map<String, Long> shrinkableSince = new HashMap<>();

  /** Sets up the shares of a shard; nothing is written before the first {@link #tick}. */
  public QuotaShares(
      ControllerContext context, LeadershipTerm term, WorkerRegistry workers, TaskRanges ranges) {
    this.context = context;
    this.term = term;
    this.workers = workers;
    this.ranges = ranges;
  }

  private static boolean isLimited(Settings.Team team) {
    return team.cpusMax() > 0 || team.gpusMax() > 0;
  }

  /** Whether the quota allows one more task of a job. */
  boolean allows(JobSpec spec) {
    return allows(spec, 1);
  }

  /** Whether the quota allows so many more tasks of a job. */
  boolean allows(JobSpec spec, int tasks) {
    Settings.Team team = context.settings().team(spec.team());
    if (team == null) {
      return false;
    }
    if (!isLimited(team)) {
      return true;
    }
    QuotaAmount share = share(team.name());
    QuotaAmount used = used(team.name());
    return (team.cpusMax() <= 0 || used.cpus() + spec.cpus() * tasks <= share.cpus() + ROUNDING)
        && (team.gpusMax() <= 0 || used.gpus() + spec.gpus() * tasks <= share.gpus() + ROUNDING);
  }

  /** The share that may be used: the smaller one while it is not known whether it was written. */
  private QuotaAmount share(String team) {
    Versioned<QuotaRecord> stored = context.stateCache().quota(team);
    if (stored == null) {
      return QuotaAmount.NONE;
    }
    QuotaAmount share = stored.record().shareOf(term.shard());
    PendingShrink pending = pendingShrinks.get(team);
    if (pending != null && pending.version() == stored.version()) {
      return new QuotaAmount(
          Math.min(share.cpus(), pending.share().cpus()),
          Math.min(share.gpus(), pending.share().gpus()));
    }
    return share;
  }

  /** What the team may be using here; all of a machine that has not reported in this term. */
  private QuotaAmount used(String team) {
    TeamUsage usage = workers.teamUsage();
    double cpus = usage.cpus(team);
    double gpus = usage.gpus(team);
    for (Worker worker : workers.unreconciled()) {
      MachineType type = context.type(worker.machineType());
      cpus += type == null ? UNKNOWN_MACHINE : type.cpus();
      gpus += type == null ? UNKNOWN_MACHINE : type.gpus();
    }
    return new QuotaAmount(cpus, gpus);
  }

  /** Grows and shrinks the shares as needed; at most one write of a team is in flight. */
  public void tick() {
    for (Settings.Team team : context.settings().teams()) {
      if (isLimited(team) && !writing.contains(team.name())) {
        adjust(team);
      }
    }
  }

  private void adjust(Settings.Team team) {
    if (!context.stateCache().isReadable(StateKeys.quota(team.name()))) {
      return;
    }
    Versioned<QuotaRecord> stored = context.stateCache().quota(team.name());
    long version = stored == null ? 0 : stored.version();
    Map<String, QuotaAmount> shares =
        stored == null ? new TreeMap<>() : new TreeMap<>(stored.record().shares());
    QuotaAmount share = shares.getOrDefault(term.shard(), QuotaAmount.NONE);
    QuotaAmount wanted = wantedShare(team, shares, share);
    boolean grows =
        wanted.cpus() > share.cpus() + ROUNDING || wanted.gpus() > share.gpus() + ROUNDING;
    boolean shrinks =
        wanted.cpus() < share.cpus() - ROUNDING || wanted.gpus() < share.gpus() - ROUNDING;
    // A shrink of unknown outcome limits this shard until the record has a newer version, which
    // any write gives it.
    PendingShrink pending = pendingShrinks.get(team.name());
    boolean writeNow = grows || (pending != null && pending.version() == version);
    if (!isDue(team.name(), writeNow, shrinks)) {
      return;
    }
    shares.put(term.shard(), wanted);
    if (stored != null && shrinks) {
      pendingShrinks.put(team.name(), new PendingShrink(version, wanted));
    }
    write(team.name(), version, new QuotaRecord(shares));
  }

  /** Whether a share is written: at once where it grows, and after some time where it shrinks. */
  private boolean isDue(String team, boolean writeNow, boolean shrinks) {
    if (!writeNow && shrinks) {
      long nowMs = context.now();
      long sinceMs = shrinkableSince.computeIfAbsent(team, t -> nowMs);
      if (nowMs - sinceMs < context.heartbeatIntervalsMs(SHRINK_AFTER_HEARTBEATS)) {
        return false;
      }
    }
    shrinkableSince.remove(team);
    return writeNow || shrinks;
  }

  private QuotaAmount wantedShare(
      Settings.Team team, Map<String, QuotaAmount> shares, QuotaAmount share) {
    double cpusOfOthers = 0;
    double gpusOfOthers = 0;
    for (Map.Entry<String, QuotaAmount> entry : shares.entrySet()) {
      if (!entry.getKey().equals(term.shard())) {
        cpusOfOthers += entry.getValue().cpus();
        gpusOfOthers += entry.getValue().gpus();
      }
    }
    Demand demand = demand(team.name());
    return new QuotaAmount(
        wantedShare(
            team.cpusMax(),
            cpusOfOthers,
            demand.used().cpus(),
            demand.total().cpus(),
            demand.smallestTask().cpus(),
            share.cpus()),
        wantedShare(
            team.gpusMax(),
            gpusOfOthers,
            demand.used().gpus(),
            demand.total().gpus(),
            demand.smallestTask().gpus(),
            share.gpus()));
  }

  /**
   * The share of one resource that this shard should have.
   *
   * @param limit the team's limit
   * @param ofOthers the sum of all other shards' shares
   * @param used what the team may be using here
   * @param needed what it uses and waits for here
   * @param smallestTask the least that a waiting task asks for
   * @param current the share as it is
   */
  private double wantedShare(
      double limit,
      double ofOthers,
      double used,
      double needed,
      double smallestTask,
      double current) {
    double available = Math.max(0, limit - ofOthers);
    // Half of an even part is kept even when idle, so that new work need not wait for a write;
    // but not where others have nearly all the rest, as they may lack it.
    double idleShare = limit / shardCount() / 2;
    double wanted =
        Math.min(Math.max(needed, available < 2 * idleShare ? 0 : idleShare), available);
    if (wanted < needed && wanted - used < smallestTask - ROUNDING) {
      // Too little for any task that waits here, but several such rests are enough for one.
      wanted = Math.min(used, available);
    }
    return Math.max(wanted, Math.min(current, used));
  }

  private double shardCount() {
    return context.settings().peers().size() + 1;
  }

  private Demand demand(String team) {
    QuotaAmount used = used(team);
    double cpus = used.cpus();
    double gpus = used.gpus();
    double leastCpus = Double.MAX_VALUE;
    double leastGpus = Double.MAX_VALUE;
    for (TaskRange range : ranges.all()) {
      if (range.waitingCount() > 0
          && range.record().team().equals(team)
          && !term.policy().mustStop(range)) {
        cpus += range.waitingCount() * range.record().cpus();
        gpus += range.waitingCount() * range.record().gpus();
        leastCpus = Math.min(leastCpus, range.record().cpus());
        leastGpus = Math.min(leastGpus, range.record().gpus());
      }
    }
    return new Demand(used, new QuotaAmount(cpus, gpus), new QuotaAmount(leastCpus, leastGpus));
  }

  private void write(String team, long version, QuotaRecord quota) {
    String key = StateKeys.quota(team);
    List<KeyValueProtocol.Condition> conditions =
        List.of(new KeyValueProtocol.Condition(key, version), term.guard());
    List<KeyValueProtocol.Change> changes = List.of(StateChanges.put(key, quota));
    writing.add(team);
    context
        .store()
        .commit(
            new Transaction(conditions, changes),
            result -> {
              long pauseMs = context.stateCache().watchIntervalMs() * RETRY_WATCH_INTERVALS;
              if (result instanceof CommitResult.Committed committed) {
                context.stateCache().applyCommit(changes, committed.revision());
                pauseMs = 0;
              }
              context.reactor().schedule(pauseMs, () -> writing.remove(team));
            });
  }
}
