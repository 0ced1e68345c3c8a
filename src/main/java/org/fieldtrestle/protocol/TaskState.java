package org.fieldtrestle.protocol;

/** The state of a task on a machine. */
public enum TaskState {
  /** The task does not run yet: it waits for its image, or for the other tasks of its gang. */
  FETCHING,
  /** The task is running. */
  RUNNING,
  /** The task was told to stop and saves a checkpoint. */
  SAVING,
  /** The task has exited; the worker reports it until it is cleared. */
  EXITED
}
