package org.fieldtrestle.protocol;

/** How far a task on a machine has come. */
public enum TaskState {
  /** Not running yet: it waits for its image, or for the other tasks of its gang. */
  FETCHING,
  /** Running. */
  RUNNING,
  /** Was told to stop and saves a checkpoint. */
  SAVING,
  /** Ended; reported until it is cleared. */
  EXITED
}
