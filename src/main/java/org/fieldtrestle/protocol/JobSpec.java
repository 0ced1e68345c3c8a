package org.fieldtrestle.protocol;

import java.util.List;

/**
 * A job as its user submitted it.
 *
 * @param id unique id, which the user chooses
 * @param jobClass name of the job's class; service-level objectives are set for each class
 * @param team the team whose quota and guaranteed share apply
 * @param tasks number of tasks; their indexes begin with 0
 * @param cpus CPUs of one task
 * @param gpus GPUs of one task
 * @param memoryGb memory of one task
 * @param image the image that a machine must have before a task can start
 * @param imageGb size of the image
 * @param types names of the allowed machine types; empty if all types are allowed
 * @param zone the only allowed zone; {@code null} if all zones are allowed
 * @param oneZone whether all tasks must be in the same zone
 * @param spread whether at most half of the tasks, rounded up, may be in one zone
 * @param spot whether the tasks may run on spot machines
 * @param estimateS the user's estimate of a task's run time in seconds, which is often wrong
 * @param checkpointIntervalS interval in seconds between two checkpoints of a task; 0 if tasks save
 *     none
 * @param saveTimeS seconds that a task needs to save a checkpoint when it is stopped
 * @param deadlineS seconds from the submission until the job should be done; negative if it has no
 *     deadline
 */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    Kind kind,
    Priority priority,
    int tasks,
    double cpus,
    double gpus,
    double memoryGb,
    String image,
    double imageGb,
    List<String> types,
    String zone,
    boolean oneZone,
    boolean spread,
    boolean spot,
    double estimateS,
    double checkpointIntervalS,
    double saveTimeS,
    double deadlineS) {

  /** Minimum number of CPUs that a task is counted with, as a task may ask for none. */
  public static final double MIN_COUNTED_CPUS = 0.1;

  /** How the tasks of a job depend on each other. */
  public enum Kind {
    /** Independent tasks, each of which runs to completion. */
    ARRAY,
    /** Tasks that start, run and stop together. */
    GANG,
    /** Tasks that run until the job is cancelled. */
    SERVICE
  }

  /** Whether all tasks need their resources at the same time. */
  public boolean isCoScheduled() {
    return kind != Kind.ARRAY;
  }

  /** Whether a task that is stopped can keep its progress in a checkpoint. */
  public boolean hasCheckpoints() {
    return checkpointIntervalS > 0;
  }

  /** Returns the CPUs that a task is counted with where tasks are compared by their CPUs. */
  public double countedCpus() {
    return Math.max(cpus, MIN_COUNTED_CPUS);
  }

  /** Returns the maximum number of tasks that may be in one zone at a time. */
  public int zoneLimit() {
    return spread ? (tasks + 1) / 2 : tasks;
  }
}
