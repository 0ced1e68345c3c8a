package org.fieldtrestle.protocol;

/**
 * The status of a task on a machine, as the worker reports it.
 *
 * @param attempt number of the attempt
 * @param cause why the task exited; {@link ExitCause#NONE} until then
 */
public record TaskStatus(TaskId task, long attempt, TaskState state, ExitCause cause) {}
