package org.fieldtrestle.protocol;

/** Why a task exited, or was not started. */
public enum ExitCause {
  /** It has not exited, or the worker does not say. */
  NONE,
  /** It completed. */
  DONE,
  /** It was stopped by command, or with the other tasks of its gang. */
  STOPPED,
  /** It failed. */
  ERROR,
  /** Not started: the machine has too little room. */
  NO_ROOM,
  /** Not started: another attempt of the task is on the machine. */
  BUSY,
  /** Not started: the worker found no such job or task. */
  UNKNOWN
}
