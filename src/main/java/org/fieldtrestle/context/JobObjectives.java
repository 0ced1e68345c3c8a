package org.fieldtrestle.context;

import java.util.List;
import org.fieldtrestle.cloud.CloudClient;
import org.fieldtrestle.config.OperatorSettings;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.MachineType;

/** How soon a job's tasks should start, according to service-level objectives and its deadline. */
public final class JobObjectives {
  /**
   * A task may preempt others after the time within which it should start, divided by this number.
   */
  private static final double PREEMPTION_DELAY_DIVISOR = 6;

  private static final String WAIT_OBJECTIVE = "wait";
  private static final String GUARANTEE_OBJECTIVE = "guarantee";

  private final Settings settings;
  private final OperatorSettings operatorSettings;
  private final CloudClient cloud;

  /** Creates objectives that use the machine types known to {@code cloud} at each call. */
  public JobObjectives(Settings settings, OperatorSettings operatorSettings, CloudClient cloud) {
    this.settings = settings;
    this.operatorSettings = operatorSettings;
    this.cloud = cloud;
  }

  /**
   * Whether the job's tasks should start within a certain time, so that free capacity has to be
   * kept available for them. This holds if the job's class has an objective for the start, or if
   * the job's deadline leaves less time than a machine takes to boot.
   */
  public boolean isLatencySensitive(JobSpec spec) {
    return (spec.deadlineS() >= 0 && spec.deadlineS() - spec.estimateS() < shortestBootS())
        || waitObjectiveS(spec) < Double.MAX_VALUE;
  }

  /**
   * Returns the boot time of the machine type that boots fastest, in seconds; 0 while no machine
   * type is known.
   */
  public double shortestBootS() {
    List<MachineType> types = cloud.machineTypes();
    if (types.isEmpty()) {
      return 0;
    }
    double shortestS = Double.MAX_VALUE;
    for (MachineType type : types) {
      shortestS = Math.min(shortestS, type.bootS());
    }
    return shortestS;
  }

  /**
   * Returns how long it takes to fetch the job's image on the machine type with the slowest image
   * download, in seconds.
   */
  public double imageFetchS(JobSpec spec) {
    double longestS = 0;
    for (MachineType type : cloud.machineTypes()) {
      longestS = Math.max(longestS, type.imageFetchS(spec));
    }
    return longestS;
  }

  /**
   * Returns the time within which the objective of the job's class requires tasks to start, in
   * seconds; {@link Double#MAX_VALUE} if the class has no such objective.
   */
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
   * Returns how long a task waits for free capacity before it may preempt others, in seconds. This
   * is the operators' setting, or less if that setting takes up too much of the time within which
   * the task should start.
   *
   * @param guaranteed whether the task is within its team's guaranteed share
   */
  public double preemptionDelayS(JobSpec spec, boolean guaranteed) {
    double delayS =
        Math.min(
            operatorSettings.preemptionWaitS(), waitObjectiveS(spec) / PREEMPTION_DELAY_DIVISOR);
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
