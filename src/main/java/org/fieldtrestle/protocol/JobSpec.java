package org.fieldtrestle.protocol;

import java.util.List;

/**
 * A job as its user submitted it.
 *
 * @param id unique id, chosen by the user
 * @param jobClass names the class of jobs that service-level objectives are set for
 * @param team the team whose quota and guaranteed share apply
 * @param tasks how many tasks it has, numbered from 0
 * @param cpus CPUs of one task
 * @param gpus GPUs of one task
 * @param memoryGb memory of one task
 * @param image the image that a machine must have before a task can start
 * @param imageGb size of the image
 * @param types names of the allowed machine types; empty where any will do
 * @param zone the only allowed zone; null where any will do
 * @param oneZone whether all tasks must be in the same zone
 * @param spread whether at most half of the tasks, rounded up, may be in one zone
 * @param spot whether spot machines will do
 * @param estimateS the owner's estimate of a task's run time in seconds, often wrong
 * @param checkpointS interval in seconds after which a task saves a checkpoint; 0: it never does
 * @param saveS seconds that a task needs to save when it is stopped
 * @param deadlineS seconds from its submission until it should be done; below 0: no deadline
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
    double checkpointS,
    double saveS,
    double deadlineS) {

  /** How the tasks of a job belong together. */
  public enum Kind {
    /** Independent tasks, each of which runs to its end. */
    ARRAY,
    /** Tasks that start, run and stop together. */
    GANG,
    /** Tasks that run until the job is cancelled. */
    SERVICE
  }

  /** Whether all tasks need their room at the same time. */
  public boolean isCoScheduled() {
    return kind != Kind.ARRAY;
  }

  /** Whether a task that is stopped can keep its progress. */
  public boolean hasCheckpoints() {
    return checkpointS > 0;
  }

  /** How many tasks may be in one zone at a time. */
  public int zoneLimit() {
    return spread ? (tasks + 1) / 2 : tasks;
  }
}
