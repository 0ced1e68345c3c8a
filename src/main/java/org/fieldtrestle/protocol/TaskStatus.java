package org.fieldtrestle.protocol;

/**
 * How a task on a machine stands, as its worker reports it.
 *
 * @param attempt the number of this start of the task
 * @param cause why it exited; {@link ExitCause#NONE} while it has not
 */
public record TaskStatus(TaskId task, long attempt, TaskState state, ExitCause cause) {}
