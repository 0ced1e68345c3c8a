package org.fieldtrestle.metrics;

/** Why a task may not be started now. */
public enum StartRefusal {
  /** The lease or the followed state is too old. */
  FENCE_CLOSED,
  /** A later epoch of this shard has begun. */
  SUPERSEDED,
  /** Another controller says that the job is cancelled. */
  JOB_CANCELLED,
  /** The job has ended. */
  JOB_ENDED,
  /** The job's record is not known yet, or cannot be read. */
  JOB_UNKNOWN,
  /** The range is another shard's, or a later epoch's. */
  RANGE_NOT_OURS,
  /** Machines that may hold the range's tasks have not reported in this epoch. */
  MACHINES_UNRESOLVED
}
