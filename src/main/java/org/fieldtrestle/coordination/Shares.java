package org.fieldtrestle.coordination;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fieldtrestle.bookkeeping.Records;
import org.fieldtrestle.bookkeeping.Store;
import org.fieldtrestle.bookkeeping.View;
import org.fieldtrestle.protocol.CloudWire.MachineType;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.Settings;
import org.fieldtrestle.protocol.StateWire;

/**
 * This master's shares of the teams' limits. A share grows by compare-and-set out of what no other
 * master has, and shrinks no further than what our tasks may be using.
 */
final class Shares {
  private static final double SLACK = 1e-6;

  /** A smaller share that we asked for and that may be written at any time. */
  private record Shrinking(long version, double cpus, double gpus) {}

  private final Master master;
  private final Node node;
  private final Map<String, Shrinking> shrinking = new HashMap<>();
  private final Map<String, Boolean> writing = new HashMap<>();
  private final Map<String, Long> idleSince = new HashMap<>();

  Shares(Master master) {
    this.master = master;
    this.node = master.node;
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
    Settings.Team team = node.settings().team(spec.team());
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
    View.Kept<Records.Quota> kept = node.view().quota(team);
    double[] share =
        kept == null
            ? new double[2]
            : kept.record().shares().getOrDefault(master.name, new double[2]);
    Shrinking less = shrinking.get(team);
    if (less != null && kept != null && less.version() == kept.version()) {
      return new double[] {Math.min(share[0], less.cpus()), Math.min(share[1], less.gpus())};
    }
    return share;
  }

  /** What the team may be using here: all of any machine that we have not heard of yet. */
  private double[] used(String team) {
    Usage usage = master.machines().usage();
    double[] used = {usage.cpus(team), usage.gpus(team)};
    for (Host host : master.machines().unresolved()) {
      MachineType type = node.type(host.type);
      used[0] += type == null ? Double.MAX_VALUE / 4 : type.cpus();
      used[1] += type == null ? Double.MAX_VALUE / 4 : type.gpus();
    }
    return used;
  }

  void tick() {
    for (Settings.Team team : node.settings().teams()) {
      if (limited(team) && !writing.getOrDefault(team.name(), false)) {
        adjust(team);
      }
    }
  }

  private void adjust(Settings.Team team) {
    if (!node.view().readable(Records.quota(team.name()))) {
      return;
    }
    View.Kept<Records.Quota> kept = node.view().quota(team.name());
    Map<String, double[]> shares =
        kept == null ? new TreeMap<>() : new TreeMap<>(kept.record().shares());
    double[] mine = shares.getOrDefault(master.name, new double[2]);
    double[] used = used(team.name());
    double[] need = used.clone();
    double[] least = {Double.MAX_VALUE, Double.MAX_VALUE};
    for (OwnedRange range : master.ranges().all()) {
      if (range.waiting() > 0
          && range.record.team().equals(team.name())
          && !master.policy().mustStop(range)) {
        need[0] += range.waiting() * range.record.cpus();
        need[1] += range.waiting() * range.record.gpus();
        least[0] = Math.min(least[0], range.record.cpus());
        least[1] = Math.min(least[1], range.record.gpus());
      }
    }
    double masters = node.settings().peers().size() + 1;
    double[] limit = {team.cpusMax(), team.gpusMax()};
    double[] want = new double[2];
    boolean grows = false;
    boolean shrinks = false;
    for (int i = 0; i < 2; i++) {
      double others = 0;
      for (Map.Entry<String, double[]> share : shares.entrySet()) {
        if (!share.getKey().equals(master.name)) {
          others += share.getValue()[i];
        }
      }
      double most = Math.max(0, limit[i] - others);
      // Half of an even part is kept even when idle, so that new work need not wait for a write;
      // but not where others have nearly all the rest: they may lack it.
      double floor = limit[i] / masters / 2;
      double wish = Math.min(Math.max(need[i], most < 2 * floor ? 0 : floor), most);
      if (wish < need[i] && wish - used[i] < least[i] - SLACK) {
        // Too little for any task that waits here, but several such rests are enough for one.
        wish = Math.min(used[i], most);
      }
      want[i] = Math.max(wish, Math.min(mine[i], used[i]));
      grows |= want[i] > mine[i] + SLACK;
      shrinks |= want[i] < mine[i] - SLACK;
    }
    long now = node.now();
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
      if (now - since < node.reportMs(2)) {
        return;
      }
    }
    idleSince.remove(team.name());
    shares.put(master.name, want);
    if (kept != null && shrinks) {
      shrinking.put(team.name(), new Shrinking(version, want[0], want[1]));
    }
    String key = Records.quota(team.name());
    List<StateWire.Condition> conditions =
        List.of(new StateWire.Condition(key, version), master.guard());
    List<StateWire.Change> changes =
        List.of(new StateWire.Put(key, Records.write(new Records.Quota(shares)), 0));
    writing.put(team.name(), true);
    node.store()
        .commit(
            new Store.Txn(conditions, changes),
            result -> {
              if (result instanceof Store.Committed committed) {
                node.view().committed(changes, committed.revision());
              }
              node.reactor()
                  .schedule(
                      result instanceof Store.Committed ? 0 : node.view().watchGapMs() * 2,
                      () -> writing.put(team.name(), false));
            });
  }

  /** Whether a job fits its team's guarantee together with the team's earlier unfinished jobs. */
  boolean guaranteed(OwnedRange range) {
    Settings.Team team = node.settings().team(range.spec.team());
    View.LiveJob own = node.view().job(range.key.job());
    if (team == null || own == null || team.cpus() <= 0 && team.gpus() <= 0) {
      return false;
    }
    double cpus = 0;
    double gpus = 0;
    for (View.LiveJob job : node.view().jobs()) {
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
    Settings.Team mine = node.settings().team(team);
    Settings.Team theirs = node.settings().team(from);
    if (mine == null || theirs == null) {
      return false;
    }
    double part = node.settings().peers().size() + 1;
    Usage usage = master.machines().usage();
    return (mine.cpus() > 0
            && usage.cpus(team) < mine.cpus() / part
            && usage.cpus(from) > theirs.cpus() / part)
        || (mine.gpus() > 0
            && usage.gpus(team) < mine.gpus() / part
            && usage.gpus(from) > theirs.gpus() / part);
  }
}
