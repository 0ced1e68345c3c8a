package org.fieldtrestle.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.state.CommitResult;
import org.fieldtrestle.state.QuotaAmount;
import org.fieldtrestle.state.QuotaRecord;
import org.fieldtrestle.state.StateChanges;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.state.Transaction;
import org.fieldtrestle.state.Versioned;
import org.fieldtrestle.worker.LeadershipTerm;
import org.fieldtrestle.worker.TaskRanges;
import org.fieldtrestle.worker.WorkerRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Manages this shard's shares of the teams' quotas. A share grows by a compare-and-swap, up to the
 * part of the quota that no other shard holds, and never shrinks below what the shard's tasks may
 * be using.
 *
 * <p>A shard that has room for a task which its share does not allow, and that cannot let the share
 * grow, requests the quota in its record. As long as it does, each other shard gives up what it
 * does not use. Any task that fits in the quota beside the tasks that run can thus start, however
 * the quota was split.
 */
public final class QuotaShares {
  private static final Logger LOG = LoggerFactory.getLogger(QuotaShares.class);

  /** How long a share has to be larger than needed before it shrinks, in heartbeat intervals. */
  private static final double SHRINK_AFTER_HEARTBEATS = 2;

  /**
   * The same if another shard requests the quota. The time allows for a placement pass after a task
   * has ended, whose resources the next task can use.
   */
  private static final double REQUESTED_SHRINK_AFTER_HEARTBEATS = 0.5;

  /** Watch intervals between a write that failed or has an unknown outcome and the next write. */
  private static final int RETRY_WATCH_INTERVALS = 2;

  /**
   * A smaller share that may have been written in place of the given version of the quota record.
   */
  private record PendingShrink(long version, QuotaAmount share) {}

  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final TaskRanges ranges;
  private final ControllerContext context;
  private final Map<String, PendingShrink> pendingShrinks = new HashMap<>();
  private final Set<String> teamsBeingWritten = new HashSet<>();

  /** What the last placement pass had room for. */
  private final QuotaRefusals refusals = new QuotaRefusals();

  /** The teams whose shares have grown since the last placement pass. */
  private final Set<String> grownSincePass = new HashSet<>();

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

  // ---- placement

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
    return !isLimited(team)
        || QuotaDemand.used(team, context, workers)
            .plus(need(team, spec, tasks))
            .fitsIn(share(team.name()));
  }

  private static QuotaAmount need(Settings.Team team, JobSpec spec, int tasks) {
    return QuotaDemand.limited(team, spec.cpus() * tasks, spec.gpus() * tasks);
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
    return pending != null && pending.version() == stored.version()
        ? share.min(pending.share())
        : share;
  }

  /** Called at the beginning of a placement pass. */
  void beginPass() {
    refusals.clear();
    grownSincePass.clear();
  }

  /** Whether this pass has found that the team's share refuses no larger a need than this one. */
  boolean isRefusalKnown(JobSpec spec, int tasks) {
    Settings.Team team = context.settings().team(spec.team());
    return team == null || refusals.covers(team.name(), need(team, spec, tasks));
  }

  /** Called when there is room for these tasks of a job and only the quota share refuses them. */
  void recordRefusal(JobSpec spec, int tasks) {
    Settings.Team team = context.settings().team(spec.team());
    if (team != null) {
      refusals.add(team.name(), need(team, spec, tasks));
    }
  }

  // ---- growing and shrinking

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
    QuotaRecord record = stored == null ? QuotaRecord.EMPTY : stored.record();
    boolean requestedByOthers = record.isRequestedByOthers(term.shard());
    if (requestedByOthers && grownSincePass.contains(team.name())) {
      return; // no pass has used what the share has grown by
    }
    QuotaDemand demand = QuotaDemand.of(team, context, workers, ranges, term.policy());
    QuotaAmount share = record.shareOf(term.shard());
    QuotaAmount target = targetShare(team, record, demand);
    boolean requests = mustRequest(team, demand, target);
    boolean grows = !target.fitsIn(share);
    boolean shrinks = !share.fitsIn(target);
    // While it is not known whether a smaller share was written, that share limits this shard until
    // the record has a newer version. Any write gives the record one, so the target share is
    // written at once.
    PendingShrink pending = pendingShrinks.get(team.name());
    long version = stored == null ? 0 : stored.version();
    boolean writeNow =
        grows
            || (requests && !record.isRequestedBy(term.shard()))
            || (pending != null && pending.version() == version);
    boolean releases = shrinks || (record.isRequestedBy(term.shard()) && !requests);
    if (!isDue(team.name(), writeNow, releases, requestedByOthers)) {
      return;
    }
    if (stored != null && shrinks) {
      pendingShrinks.put(team.name(), new PendingShrink(version, target));
    }
    write(team.name(), version, record, target, requests);
  }

  /**
   * Whether a share is to be written now: a larger share or a request at once, a smaller share or
   * the end of a request after some time.
   */
  private boolean isDue(
      String team, boolean writeNow, boolean releases, boolean requestedByOthers) {
    if (!writeNow && releases) {
      long nowMs = context.nowMs();
      long sinceMs = shrinkableSinceMs.computeIfAbsent(team, t -> nowMs);
      double heartbeats =
          requestedByOthers ? REQUESTED_SHRINK_AFTER_HEARTBEATS : SHRINK_AFTER_HEARTBEATS;
      if (nowMs - sinceMs < context.heartbeatIntervalsMs(heartbeats)) {
        return false;
      }
    }
    shrinkableSinceMs.remove(team);
    return writeNow || releases;
  }

  /** Returns the share that this shard should have. */
  private QuotaAmount targetShare(Settings.Team team, QuotaRecord record, QuotaDemand demand) {
    QuotaAmount limit = QuotaDemand.limited(team, team.cpusMax(), team.gpusMax());
    QuotaAmount available = limit.minus(record.sharesOfOthers(term.shard()));
    boolean requestedByOthers = record.isRequestedByOthers(term.shard());
    // While another shard requests the quota, waiting tasks without room here must not hold any.
    List<QuotaAmount> needs =
        requestedByOthers ? refusals.needs(team.name()) : demand.smallestNeeds();
    boolean canUseMore =
        needs.stream().anyMatch(need -> demand.used().plus(need).fitsIn(available));
    QuotaAmount wanted = demand.used();
    if (canUseMore) {
      wanted = demand.total();
    }
    if (!requestedByOthers && (canUseMore || demand.isSatisfied())) {
      wanted = wanted.max(idleShare(limit, available));
    }
    QuotaAmount share = record.shareOf(term.shard());
    return wanted.min(available).max(share.min(demand.used()));
  }

  /**
   * Returns the share that this shard keeps even when it is idle, so that new work does not have to
   * wait for a write: half of an equal part of the quota. It keeps none if the other shards hold
   * nearly all of the quota, as they may need more.
   */
  private QuotaAmount idleShare(QuotaAmount limit, QuotaAmount available) {
    int shards = context.settings().peers().size() + 1;
    QuotaAmount idle = limit.times(0.5 / shards);
    return new QuotaAmount(
        available.cpus() < 2 * idle.cpus() ? 0 : idle.cpus(),
        available.gpus() < 2 * idle.gpus() ? 0 : idle.gpus());
  }

  /**
   * Whether there is room for a task that would fit in the team's quota beside the tasks that run
   * here, and that the target share does not allow.
   */
  private boolean mustRequest(Settings.Team team, QuotaDemand demand, QuotaAmount target) {
    QuotaAmount limit = QuotaDemand.limited(team, team.cpusMax(), team.gpusMax());
    boolean any = false;
    for (QuotaAmount need : refusals.needs(team.name())) {
      QuotaAmount needed = demand.used().plus(need);
      if (needed.fitsIn(target)) {
        return false;
      }
      any |= needed.fitsIn(limit);
    }
    return any;
  }

  private void write(
      String team, long version, QuotaRecord record, QuotaAmount target, boolean requests) {
    String key = StateKeys.quota(team);
    QuotaAmount before = record.shareOf(term.shard());
    Map<String, QuotaAmount> shares = new TreeMap<>(record.shares());
    shares.put(term.shard(), target);
    Set<String> requesters = new TreeSet<>(record.requesters());
    boolean changed = requests ? requesters.add(term.shard()) : requesters.remove(term.shard());
    if (changed) {
      LOG.atInfo()
          .addKeyValue("team", team)
          .addKeyValue("shard", term.shard())
          .addKeyValue("cpus", target.cpus())
          .addKeyValue("gpus", target.gpus())
          .log(requests ? "quota requested from other shards" : "quota no longer requested");
    }
    List<KeyValueProtocol.Condition> conditions =
        List.of(new KeyValueProtocol.Condition(key, version), term.guard());
    List<KeyValueProtocol.Change> changes =
        List.of(StateChanges.put(key, new QuotaRecord(shares, requesters)));
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
                if (!target.fitsIn(before)) {
                  grownSincePass.add(team);
                }
              }
              context.reactor().schedule(pauseMs, () -> teamsBeingWritten.remove(team));
            });
  }
}
