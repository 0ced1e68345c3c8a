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

  public boolean savesWork() {
    return checkpointS > 0;
  }

  /** How many tasks may be in one zone at a time. */
  public int zoneLimit() {
    return spread ? (tasks + 1) / 2 : tasks;
  }
}
