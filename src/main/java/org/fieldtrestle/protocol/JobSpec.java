package org.fieldtrestle.protocol;

import java.util.List;

/**
 * A job as its user submitted it. {@code types} is empty and {@code zone} null where any will do; a
 * {@code deadlineS} below 0 is none.
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
  public boolean whole() {
    return kind != Kind.ARRAY;
  }

  public boolean hasCheckpoints() {
    return checkpointS > 0;
  }

  /** How many tasks may be in one zone at a time. */
  public int zoneLimit() {
    return spread ? (tasks + 1) / 2 : tasks;
  }
}
