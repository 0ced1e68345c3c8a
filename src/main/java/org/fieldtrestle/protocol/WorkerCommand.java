package org.fieldtrestle.protocol;

/** A command to a worker about one attempt of a task. */
public sealed interface WorkerCommand {
  /** The task. */
  TaskId task();

  /** The number of the attempt. */
  long attempt();

  /** Starts the task; without effect if the worker has this attempt already. */
  record Start(TaskId task, long attempt) implements WorkerCommand {}

  /**
   * Stops the task.
   *
   * @param gracePeriodS time in seconds that it has to save its work; 0 ends it at once
   */
  record Stop(TaskId task, long attempt, double gracePeriodS) implements WorkerCommand {}

  /** Makes the worker forget an exited task; a repeated start would then start it again. */
  record Clear(TaskId task, long attempt) implements WorkerCommand {}
}
