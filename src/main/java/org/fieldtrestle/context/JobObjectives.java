package org.fieldtrestle.context;

import java.util.List;
import org.fieldtrestle.cloud.CloudClient;
import org.fieldtrestle.config.OperatorSettings;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.protocol.CloudProtocol.MachineType;
import org.fieldtrestle.protocol.JobSpec;

/** What the service-level objectives and a job's deadline require of its tasks' starts. */
public final class JobObjectives {
  /** A task may preempt others after this part of the time within which it should start. */
  private static final double PREEMPTION_DELAY_DIVISOR = 6;

  private static final String WAIT_OBJECTIVE = "wait";
  private static final String GUARANTEE_OBJECTIVE = "guarantee";

  private final Settings settings;
  private final OperatorSettings operatorSettings;
  private final CloudClient cloud;

  /** Uses the cloud's machine types as they are known at the time of each call. */
  public JobObjectives(Settings settings, OperatorSettings operatorSettings, CloudClient cloud) {
    this.settings = settings;
    this.operatorSettings = operatorSettings;
    this.cloud = cloud;
  }

  /**
   * Whether the job's tasks should start within some time: its class has such an objective, or its
   * deadline leaves less time than a machine takes to boot, so that free capacity has to exist.
   */
  public boolean isLatencySensitive(JobSpec spec) {
    return (spec.deadlineS() >= 0 && spec.deadlineS() - spec.estimateS() < shortestBootS())
        || waitObjectiveS(spec) < Double.MAX_VALUE;
  }

  /** The boot time of the machine type that boots fastest; 0 while no type is known. */
  public double shortestBootS() {
    List<MachineType> types = cloud.types();
    if (types.isEmpty()) {
      return 0;
    }
    double shortestS = Double.MAX_VALUE;
    for (MachineType type : types) {
      shortestS = Math.min(shortestS, type.bootS());
    }
    return shortestS;
  }

  /** How long fetching the job's image takes on the machine type with the slowest line. */
  public double imageFetchS(JobSpec spec) {
    double longestS = 0;
    for (MachineType type : cloud.types()) {
      longestS = Math.max(longestS, type.imageFetchS(spec));
    }
    return longestS;
  }

  /** The time within which the objective of the job's class wants tasks started, in seconds. */
  private double waitObjectiveS(JobSpec spec) {
    double withinS = Double.MAX_VALUE;
    for (Settings.Objective objective : settings.objectives()) {
      if (objective.kind().equals(WAIT_OBJECTIVE) && objective.jobClass().equals(spec.jobClass())) {
        withinS = Math.min(withinS, objective.withinS());
      }
    }
    return withinS;
  }

  /**
   * How long a task waits for free capacity before it may preempt others, in seconds: the
   * operators' setting, or less if that is too much of the time within which it should start.
   *
   * @param guaranteed whether the task is within its team's guaranteed share
   */
  public double preemptionDelayS(JobSpec spec, boolean guaranteed) {
    double delayS =
        Math.min(operatorSettings.evictWaitS(), waitObjectiveS(spec) / PREEMPTION_DELAY_DIVISOR);
    if (spec.deadlineS() >= 0 && isLatencySensitive(spec)) {
      double slackS = Math.max(0, spec.deadlineS() - spec.estimateS());
      delayS = Math.min(delayS, slackS / PREEMPTION_DELAY_DIVISOR);
    }
    if (guaranteed) {
      for (Settings.Objective objective : settings.objectives()) {
        if (objective.kind().equals(GUARANTEE_OBJECTIVE)) {
          delayS = Math.min(delayS, objective.withinS() / PREEMPTION_DELAY_DIVISOR);
        }
      }
    }
    return delayS;
  }
}
