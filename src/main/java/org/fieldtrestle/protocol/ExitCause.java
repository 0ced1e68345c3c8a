package org.fieldtrestle.protocol;

/** The reason why a task exited or was not started. */
public enum ExitCause {
  /** The task has not exited, or the worker reports no cause. */
  NONE,
  /** The task completed. */
  DONE,
  /** The task was stopped by a command, or together with the other tasks of its gang. */
  STOPPED,
  /** The task failed. */
  ERROR,
  /** The task was not started: the machine has too few free resources. */
  NO_ROOM,
  /** The task was not started: another attempt of the task is on the machine. */
  OTHER_ATTEMPT_PRESENT,
  /** The task was not started: the worker does not know the job or the task. */
  UNKNOWN
}
