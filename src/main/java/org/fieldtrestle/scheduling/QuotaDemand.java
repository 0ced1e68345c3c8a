package org.fieldtrestle.scheduling;

import java.util.ArrayList;
import java.util.List;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.MachineType;
import org.fieldtrestle.state.QuotaAmount;
import org.fieldtrestle.worker.CommandPolicy;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.TaskRanges;
import org.fieldtrestle.worker.TeamUsage;
import org.fieldtrestle.worker.Worker;
import org.fieldtrestle.worker.WorkerRegistry;

/**
 * What the tasks of a team on this shard need of the resources that the team's quota limits.
 * Resources without a limit count as nothing.
 *
 * @param used what the team's tasks may be using now
 * @param total what the team's tasks may be using and what its waiting tasks ask for
 * @param smallestNeeds what has to be free for a waiting task, or for a whole waiting gang, to
 *     start; one entry for each range
 */
record QuotaDemand(QuotaAmount used, QuotaAmount total, List<QuotaAmount> smallestNeeds) {
  /**
   * CPUs or GPUs that a machine of unknown type counts with: more than any quota, yet small enough
   * that a few of them can be added without overflow.
   */
  private static final double UNKNOWN_MACHINE_RESOURCES = Double.MAX_VALUE / 4;

  /** Returns the present demand of a team. */
  static QuotaDemand of(
      Settings.Team team,
      ControllerContext context,
      WorkerRegistry workers,
      TaskRanges ranges,
      CommandPolicy policy) {
    QuotaAmount used = used(team, context, workers);
    QuotaAmount total = used;
    List<QuotaAmount> needs = new ArrayList<>();
    for (TaskRange range : ranges.all()) {
      if (range.waitingCount() > 0
          && range.record().team().equals(team.name())
          && !policy.mustStop(range)) {
        QuotaAmount task = limited(team, range.record().cpus(), range.record().gpus());
        QuotaAmount all = task.times(range.waitingCount());
        total = total.plus(all);
        needs.add(isGang(range) ? all : task);
      }
    }
    return new QuotaDemand(used, total, needs);
  }

  private static boolean isGang(TaskRange range) {
    return range.spec() != null && range.spec().kind() == JobSpec.Kind.GANG;
  }

  /**
   * Returns what the team's tasks may be using on this shard. A machine that has not reported in
   * this term counts with all its resources.
   */
  static QuotaAmount used(Settings.Team team, ControllerContext context, WorkerRegistry workers) {
    TeamUsage usage = workers.teamUsage();
    double cpus = usage.cpus(team.name());
    double gpus = usage.gpus(team.name());
    for (Worker worker : workers.unreconciled()) {
      MachineType type = context.machineType(worker.machineType());
      cpus += type == null ? UNKNOWN_MACHINE_RESOURCES : type.cpus();
      gpus += type == null ? UNKNOWN_MACHINE_RESOURCES : type.gpus();
    }
    return limited(team, cpus, gpus);
  }

  /** Returns the amount that a team's quota limits; resources without a limit count as nothing. */
  static QuotaAmount limited(Settings.Team team, double cpus, double gpus) {
    return new QuotaAmount(team.cpusMax() > 0 ? cpus : 0, team.gpusMax() > 0 ? gpus : 0);
  }

  /** Whether no task waits. */
  boolean isSatisfied() {
    return smallestNeeds.isEmpty();
  }
}
