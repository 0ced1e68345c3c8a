package org.fieldtrestle.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.CloudProtocol.MachineType;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.state.KeyValueClient;
import org.fieldtrestle.state.Records;
import org.fieldtrestle.state.StateCache;
import org.fieldtrestle.worker.LeadershipTerm;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.TaskRanges;
import org.fieldtrestle.worker.TeamUsage;
import org.fieldtrestle.worker.Worker;
import org.fieldtrestle.worker.WorkerRegistry;

/**
 * This shard's shares of the teams' limits. A share grows by compare-and-set out of what no other
 * shard has, and shrinks no further than what our tasks may be using.
 */
public final class QuotaShares {
  private static final double SLACK = 1e-6;

  /** A smaller share that we asked for and that may be written at any time. */
  private record Shrinking(long version, double cpus, double gpus) {}

  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final TaskRanges ranges;
  private final ControllerContext context;
  private final Map<String, Shrinking> shrinking = new HashMap<>();
  private final Map<String, Boolean> writing = new HashMap<>();
  private final Map<String, Long> idleSince = new HashMap<>();

  public QuotaShares(
      ControllerContext context, LeadershipTerm term, WorkerRegistry workers, TaskRanges ranges) {
    this.context = context;
    this.term = term;
    this.workers = workers;
    this.ranges = ranges;
  }

  private static boolean limited(Settings.Team team) {
    return team.cpusMax() > 0 || team.gpusMax() > 0;
  }

  /** May one more task of this job be started? */
  boolean allows(JobSpec spec) {
    return allows(spec, 1);
  }

  /** May so many more tasks of this job be started? */
  boolean allows(JobSpec spec, int tasks) {
    Settings.Team team = context.settings().team(spec.team());
    if (team == null) {
      return false;
    }
    if (!limited(team)) {
      return true;
    }
    double[] share = share(team.name());
    double[] used = used(team.name());
    return (team.cpusMax() <= 0 || used[0] + spec.cpus() * tasks <= share[0] + SLACK)
        && (team.gpusMax() <= 0 || used[1] + spec.gpus() * tasks <= share[1] + SLACK);
  }

  private double[] share(String team) {
    StateCache.Versioned<Records.Quota> kept = context.stateCache().quota(team);
    double[] share =
        kept == null
            ? new double[2]
            : kept.record().shares().getOrDefault(term.shard(), new double[2]);
    Shrinking less = shrinking.get(team);
    if (less != null && kept != null && less.version() == kept.version()) {
      return new double[] {Math.min(share[0], less.cpus()), Math.min(share[1], less.gpus())};
    }
    return share;
  }

  /** What the team may be using here: all of any machine that we have not heard of yet. */
  private double[] used(String team) {
    TeamUsage usage = workers.usage();
    double[] used = {usage.cpus(team), usage.gpus(team)};
    for (Worker worker : workers.unreconciled()) {
      MachineType type = context.type(worker.machineType());
      used[0] += type == null ? Double.MAX_VALUE / 4 : type.cpus();
      used[1] += type == null ? Double.MAX_VALUE / 4 : type.gpus();
    }
    return used;
  }

  public void tick() {
    for (Settings.Team team : context.settings().teams()) {
      if (limited(team) && !writing.getOrDefault(team.name(), false)) {
        adjust(team);
      }
    }
  }

  private void adjust(Settings.Team team) {
    if (!context.stateCache().readable(Records.quota(team.name()))) {
      return;
    }
    StateCache.Versioned<Records.Quota> kept = context.stateCache().quota(team.name());
    Map<String, double[]> shares =
        kept == null ? new TreeMap<>() : new TreeMap<>(kept.record().shares());
    double[] mine = shares.getOrDefault(term.shard(), new double[2]);
    double[] used = used(team.name());
    double[] need = used.clone();
    double[] least = {Double.MAX_VALUE, Double.MAX_VALUE};
    for (TaskRange range : ranges.all()) {
      if (range.waiting() > 0
          && range.record().team().equals(team.name())
          && !term.policy().mustStop(range)) {
        need[0] += range.waiting() * range.record().cpus();
        need[1] += range.waiting() * range.record().gpus();
        least[0] = Math.min(least[0], range.record().cpus());
        least[1] = Math.min(least[1], range.record().gpus());
      }
    }
    double shards = context.settings().peers().size() + 1;
    double[] limit = {team.cpusMax(), team.gpusMax()};
    double[] want = new double[2];
    boolean grows = false;
    boolean shrinks = false;
    for (int i = 0; i < 2; i++) {
      double others = 0;
      for (Map.Entry<String, double[]> share : shares.entrySet()) {
        if (!share.getKey().equals(term.shard())) {
          others += share.getValue()[i];
        }
      }
      double most = Math.max(0, limit[i] - others);
      // Half of an even part is kept even when idle, so that new work need not wait for a write;
      // but not where others have nearly all the rest: they may lack it.
      double floor = limit[i] / shards / 2;
      double wish = Math.min(Math.max(need[i], most < 2 * floor ? 0 : floor), most);
      if (wish < need[i] && wish - used[i] < least[i] - SLACK) {
        // Too little for any task that waits here, but several such rests are enough for one.
        wish = Math.min(used[i], most);
      }
      want[i] = Math.max(wish, Math.min(mine[i], used[i]));
      grows |= want[i] > mine[i] + SLACK;
      shrinks |= want[i] < mine[i] - SLACK;
    }
    long now = context.now();
    long version = kept == null ? 0 : kept.version();
    Shrinking less = shrinking.get(team.name());
    // A shrinking of unknown fate binds us until the record has a newer version: any write will do.
    grows |= less != null && less.version() == version;
    if (!grows && !shrinks) {
      idleSince.remove(team.name());
      return;
    }
    if (!grows) {
      long since = idleSince.computeIfAbsent(team.name(), t -> now);
      if (now - since < context.heartbeatIntervalsMs(2)) {
        return;
      }
    }
    idleSince.remove(team.name());
    shares.put(term.shard(), want);
    if (kept != null && shrinks) {
      shrinking.put(team.name(), new Shrinking(version, want[0], want[1]));
    }
    String key = Records.quota(team.name());
    List<KeyValueProtocol.Condition> conditions =
        List.of(new KeyValueProtocol.Condition(key, version), term.guard());
    List<KeyValueProtocol.Change> changes =
        List.of(new KeyValueProtocol.Put(key, Records.write(new Records.Quota(shares)), 0));
    writing.put(team.name(), true);
    context
        .store()
        .commit(
            new KeyValueClient.Transaction(conditions, changes),
            result -> {
              if (result instanceof KeyValueClient.Committed committed) {
                context.stateCache().committed(changes, committed.revision());
              }
              context
                  .reactor()
                  .schedule(
                      result instanceof KeyValueClient.Committed
                          ? 0
                          : context.stateCache().watchIntervalMs() * 2,
                      () -> writing.put(team.name(), false));
            });
  }

  /** Whether a job fits its team's guarantee together with the team's earlier unfinished jobs. */
  boolean guaranteed(TaskRange range) {
    Settings.Team team = context.settings().team(range.spec().team());
    StateCache.ActiveJob own = context.stateCache().job(range.key().job());
    if (team == null || own == null || team.cpus() <= 0 && team.gpus() <= 0) {
      return false;
    }
    double cpus = 0;
    double gpus = 0;
    for (StateCache.ActiveJob job : context.stateCache().jobs()) {
      if (job.job() != null
          && job.job().record().spec().team().equals(team.name())
          && job.job().record().acceptedWall() <= own.job().record().acceptedWall()) {
        JobSpec spec = job.job().record().spec();
        cpus += spec.cpus() * spec.tasks();
        gpus += spec.gpus() * spec.tasks();
      }
    }
    return cpus <= team.cpus() && gpus <= team.gpus();
  }

  /** Whether a team is owed room that another takes beyond its own guarantee. */
  boolean owed(String team, String from) {
    if (team.equals(from)) {
      return false;
    }
    Settings.Team mine = context.settings().team(team);
    Settings.Team theirs = context.settings().team(from);
    if (mine == null || theirs == null) {
      return false;
    }
    double part = context.settings().peers().size() + 1;
    TeamUsage usage = workers.usage();
    return (mine.cpus() > 0
            && usage.cpus(team) < mine.cpus() / part
            && usage.cpus(from) > theirs.cpus() / part)
        || (mine.gpus() > 0
            && usage.gpus(team) < mine.gpus() / part
            && usage.gpus(from) > theirs.gpus() / part);
  }
}
