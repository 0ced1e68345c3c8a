package org.fieldtrestle.scheduling;

import org.fieldtrestle.config.Settings;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.state.ActiveJob;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.TeamUsage;
import org.fieldtrestle.worker.WorkerRegistry;

/** The teams' guaranteed shares: which work need not wait, and what may be preempted for it. */
final class GuaranteedShares {
  private final ControllerContext context;
  private final WorkerRegistry workers;

  GuaranteedShares(ControllerContext context, WorkerRegistry workers) {
    this.context = context;
    this.workers = workers;
  }

  /** Whether a job and its team's earlier unfinished jobs fit the team's guaranteed share. */
  boolean isGuaranteed(TaskRange range) {
    Settings.Team team = context.settings().team(range.spec().team());
    ActiveJob own = context.stateCache().job(range.key().job());
    if (team == null || own == null || (team.cpus() <= 0 && team.gpus() <= 0)) {
      return false;
    }
    double cpus = 0;
    double gpus = 0;
    for (ActiveJob job : context.stateCache().jobs()) {
      if (job.job() != null
          && job.job().record().spec().team().equals(team.name())
          && job.job().record().acceptedWallMs() <= own.job().record().acceptedWallMs()) {
        JobSpec spec = job.job().record().spec();
        cpus += spec.cpus() * spec.tasks();
        gpus += spec.gpus() * spec.tasks();
      }
    }
    return cpus <= team.cpus() && gpus <= team.gpus();
  }

  /**
   * Whether a team may reclaim room from another: it uses less than its part of its guaranteed
   * share here, and the other one more than its own.
   */
  boolean mayReclaim(String team, String from) {
    if (team.equals(from)) {
      return false;
    }
    Settings.Team below = context.settings().team(team);
    Settings.Team above = context.settings().team(from);
    if (below == null || above == null) {
      return false;
    }
    double shards = context.settings().peers().size() + 1;
    TeamUsage usage = workers.teamUsage();
    return (below.cpus() > 0
            && usage.cpus(team) < below.cpus() / shards
            && usage.cpus(from) > above.cpus() / shards)
        || (below.gpus() > 0
            && usage.gpus(team) < below.gpus() / shards
            && usage.gpus(from) > above.gpus() / shards);
  }
}
