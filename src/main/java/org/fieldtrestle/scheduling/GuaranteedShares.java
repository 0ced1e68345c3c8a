package org.fieldtrestle.scheduling;

import org.fieldtrestle.config.Settings;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.state.ActiveJob;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.TeamUsage;
import org.fieldtrestle.worker.WorkerRegistry;

/**
 * Decides by the teams' guaranteed shares which work may preempt earlier than other work, and which
 * running tasks may be preempted for it.
 */
final class GuaranteedShares {
  private final ControllerContext context;
  private final WorkerRegistry workers;

  GuaranteedShares(ControllerContext context, WorkerRegistry workers) {
    this.context = context;
    this.workers = workers;
  }

  /**
   * Whether a job and the earlier unfinished jobs of its team together fit into the team's
   * guaranteed share.
   */
  boolean isGuaranteed(TaskRange range) {
    Settings.Team team = context.settings().team(range.spec().team());
    ActiveJob ownJob = context.stateCache().job(range.key().job());
    if (team == null || ownJob == null || (team.cpus() <= 0 && team.gpus() <= 0)) {
      return false;
    }
    double cpus = 0;
    double gpus = 0;
    for (ActiveJob job : context.stateCache().jobs()) {
      if (job.job() != null
          && job.job().record().spec().team().equals(team.name())
          && job.job().record().acceptedWallMs() <= ownJob.job().record().acceptedWallMs()) {
        JobSpec spec = job.job().record().spec();
        cpus += spec.cpus() * spec.tasks();
        gpus += spec.gpus() * spec.tasks();
      }
    }
    return cpus <= team.cpus() && gpus <= team.gpus();
  }

  /**
   * Whether a team may reclaim resources from another team: on this shard, the team uses less than
   * the shard's part of its guaranteed share, and the other team uses more than the shard's part of
   * its own.
   */
  boolean mayReclaim(String team, String otherTeam) {
    if (team.equals(otherTeam)) {
      return false;
    }
    Settings.Team claimant = context.settings().team(team);
    Settings.Team other = context.settings().team(otherTeam);
    if (claimant == null || other == null) {
      return false;
    }
    double shards = context.settings().peers().size() + 1;
    TeamUsage usage = workers.teamUsage();
    return (claimant.cpus() > 0
            && usage.cpus(team) < claimant.cpus() / shards
            && usage.cpus(otherTeam) > other.cpus() / shards)
        || (claimant.gpus() > 0
            && usage.gpus(team) < claimant.gpus() / shards
            && usage.gpus(otherTeam) > other.gpus() / shards);
  }
}
