package org.fieldtrestle.protocol;

/** A command to a worker about one attempt of a task. */
public sealed interface WorkerCommand {
  /** Returns the task. */
  TaskId task();

  /** Returns the number of the attempt. */
  long attempt();

  /** Starts the task. Has no effect if the worker already has this attempt. */
  record Start(TaskId task, long attempt) implements WorkerCommand {}

  /**
   * Stops the task.
   *
   * @param gracePeriodS seconds that the task has to save its progress; 0 ends the task at once
   */
  record Stop(TaskId task, long attempt, double gracePeriodS) implements WorkerCommand {}

  /**
   * Makes the worker forget an exited task. After that, a repeated start command starts it again.
   */
  record Clear(TaskId task, long attempt) implements WorkerCommand {}
}
