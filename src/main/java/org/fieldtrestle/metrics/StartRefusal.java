package org.fieldtrestle.metrics;

/**
 * The reason why a task may not be started now. The names of the constants are keys of the
 * statistics page.
 */
public enum StartRefusal {
  /** The controller's lease or its state cache is too old. */
  FENCE_CLOSED,
  /** A later epoch of this shard has begun. */
  SUPERSEDED,
  /** Another controller has reported that the job is cancelled. */
  JOB_CANCELLED,
  /** The job has ended. */
  JOB_ENDED,
  /** The job's record is not known yet, or cannot be read. */
  JOB_UNKNOWN,
  /** The range belongs to another shard or to a later epoch. */
  RANGE_NOT_OURS,
  /** Workers that may run the range's tasks have not sent a heartbeat in this epoch. */
  MACHINES_UNRESOLVED
}
