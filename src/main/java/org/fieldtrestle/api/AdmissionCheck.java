package org.fieldtrestle.api;

import java.util.Optional;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.JobSpec;

/** Checks whether a job could ever run in this cluster. */
final class AdmissionCheck {
  private final ControllerContext context;

  AdmissionCheck(ControllerContext context) {
    this.context = context;
  }

  /**
   * Returns the reason why a job could never run, as a text for the user; empty if it could run.
   */
  Optional<String> rejectionReason(JobSpec spec) {
    Settings.Team team = context.settings().team(spec.team());
    if (team == null) {
      return Optional.of("unknown team");
    }
    if (exceedsQuota(spec, team)) {
      return Optional.of("needs more than the team's limit");
    }
    if (context.machineTypes().stream().noneMatch(type -> type.isAllowedFor(spec))) {
      return Optional.of("a task fits no allowed machine type");
    }
    return Optional.empty();
  }

  private static boolean exceedsQuota(JobSpec spec, Settings.Team team) {
    int simultaneousTasks = spec.isCoScheduled() ? spec.tasks() : 1;
    return (team.cpusMax() > 0 && spec.cpus() * simultaneousTasks > team.cpusMax())
        || (team.gpusMax() > 0 && spec.gpus() * simultaneousTasks > team.gpusMax());
  }
}
