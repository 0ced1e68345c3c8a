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
 * Manages this shard's shares of the teams' quotas. A share grows by a compare-and-swap, up to the
 * part of the quota that no other shard holds, and never shrinks below what the shard's tasks may
 * be using.
 */
public final class QuotaShares {
  /** Tolerance for rounding errors in sums of resources. */
  private static final double ROUNDING_TOLERANCE = 1e-6;

  /**
   * CPUs or GPUs that a machine of unknown type counts with: more than any quota, yet small enough
   * that a few of them can be added without overflow.
   */
  private static final double UNKNOWN_MACHINE_RESOURCES = Double.MAX_VALUE / 4;

  /** How long a share has to be larger than needed before it shrinks, in heartbeat intervals. */
  private static final double SHRINK_AFTER_HEARTBEATS = 2;

  /** Watch intervals between a write that failed or has an unknown outcome and the next write. */
  private static final int RETRY_WATCH_INTERVALS = 2;

  /**
   * A smaller share that may have been written in place of the given version of the quota record.
   */
  private record PendingShrink(long version, QuotaAmount share) {}

  /**
   * What the tasks of a team on this shard need.
   *
   * @param used what the team's tasks may be using now
   * @param total what the team's tasks may be using and what its waiting tasks ask for
   * @param smallestTask the smallest amount that a waiting task asks for, for each resource
   *     separately
   */
  private record Demand(QuotaAmount used, QuotaAmount total, QuotaAmount smallestTask) {}

  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final TaskRanges ranges;
  private final ControllerContext context;
  private final Map<String, PendingShrink> pendingShrinks = new HashMap<>();
  private final Set<String> teamsBeingWritten = new HashSet<>();

  /** Since when the share of a team has been larger than needed, in milliseconds. */
  private final Map<String, Long> shrinkableSinceMs = new HashMap<>();

  /** Creates the shares of a shard. Nothing is written before the first {@link #tick}. */
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

  /** Whether the quota share allows one more task of a job. */
  boolean allows(JobSpec spec) {
    return allows(spec, 1);
  }

  /** Whether the quota share allows the given number of further tasks of a job. */
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
    return (team.cpusMax() <= 0
            || used.cpus() + spec.cpus() * tasks <= share.cpus() + ROUNDING_TOLERANCE)
        && (team.gpusMax() <= 0
            || used.gpus() + spec.gpus() * tasks <= share.gpus() + ROUNDING_TOLERANCE);
  }

  /**
   * Returns the share that may be used. While it is not known whether a smaller share was written,
   * the smaller one applies.
   */
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

  /**
   * Returns what the team's tasks may be using on this shard. A machine that has not reported in
   * this term counts with all its resources.
   */
  private QuotaAmount used(String team) {
    TeamUsage usage = workers.teamUsage();
    double cpus = usage.cpus(team);
    double gpus = usage.gpus(team);
    for (Worker worker : workers.unreconciled()) {
      MachineType type = context.machineType(worker.machineType());
      cpus += type == null ? UNKNOWN_MACHINE_RESOURCES : type.cpus();
      gpus += type == null ? UNKNOWN_MACHINE_RESOURCES : type.gpus();
    }
    return new QuotaAmount(cpus, gpus);
  }

  /** Grows and shrinks the shares as needed. At most one write per team is in flight. */
  public void tick() {
    for (Settings.Team team : context.settings().teams()) {
      if (isLimited(team) && !teamsBeingWritten.contains(team.name())) {
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
    QuotaAmount target = targetShare(team, shares, share);
    boolean grows =
        target.cpus() > share.cpus() + ROUNDING_TOLERANCE
            || target.gpus() > share.gpus() + ROUNDING_TOLERANCE;
    boolean shrinks =
        target.cpus() < share.cpus() - ROUNDING_TOLERANCE
            || target.gpus() < share.gpus() - ROUNDING_TOLERANCE;
    // While it is not known whether a smaller share was written, that share limits this shard,
    // until
    // the record has a newer version. Any write gives the record one, so the target share is
    // written
    // at once.
    PendingShrink pending = pendingShrinks.get(team.name());
    boolean writeNow = grows || (pending != null && pending.version() == version);
    if (!isDue(team.name(), writeNow, shrinks)) {
      return;
    }
    shares.put(term.shard(), target);
    if (stored != null && shrinks) {
      pendingShrinks.put(team.name(), new PendingShrink(version, target));
    }
    write(team.name(), version, new QuotaRecord(shares));
  }

  /**
   * Whether a share is to be written now: a larger share at once, a smaller one after some time.
   */
  private boolean isDue(String team, boolean writeNow, boolean shrinks) {
    if (!writeNow && shrinks) {
      long nowMs = context.nowMs();
      long sinceMs = shrinkableSinceMs.computeIfAbsent(team, t -> nowMs);
      if (nowMs - sinceMs < context.heartbeatIntervalsMs(SHRINK_AFTER_HEARTBEATS)) {
        return false;
      }
    }
    shrinkableSinceMs.remove(team);
    return writeNow || shrinks;
  }

  private QuotaAmount targetShare(
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
        targetShare(
            team.cpusMax(),
            cpusOfOthers,
            demand.used().cpus(),
            demand.total().cpus(),
            demand.smallestTask().cpus(),
            share.cpus()),
        targetShare(
            team.gpusMax(),
            gpusOfOthers,
            demand.used().gpus(),
            demand.total().gpus(),
            demand.smallestTask().gpus(),
            share.gpus()));
  }

  /**
   * Returns the share of one resource that this shard should have.
   *
   * @param limit the team's limit
   * @param sharesOfOthers the sum of the shares of all other shards
   * @param used what the team's tasks may be using on this shard
   * @param needed {@code used} and what the team's waiting tasks on this shard ask for
   * @param smallestTask the smallest amount that a waiting task asks for
   * @param current the present share
   */
  private double targetShare(
      double limit,
      double sharesOfOthers,
      double used,
      double needed,
      double smallestTask,
      double current) {
    double available = Math.max(0, limit - sharesOfOthers);
    // A shard keeps half of an equal part of the quota even when it is idle, so that new work does
    // not have to wait for a write. It keeps none if the other shards hold nearly all of the quota,
    // as they may need more.
    double idleShare = limit / shardCount() / 2;
    double target =
        Math.min(Math.max(needed, available < 2 * idleShare ? 0 : idleShare), available);
    if (target < needed && target - used < smallestTask - ROUNDING_TOLERANCE) {
      // What could be added is too little for any task that waits here, but several such remainders
      // together are enough for a task on another shard.
      target = Math.min(used, available);
    }
    return Math.max(target, Math.min(current, used));
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
    teamsBeingWritten.add(team);
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
              context.reactor().schedule(pauseMs, () -> teamsBeingWritten.remove(team));
            });
  }
}
