package org.fieldtrestle.state;

/**
 * How a job ended.
 *
 * @param done {@code true} if all tasks were done, {@code false} if the job was cancelled
 * @param tasks how many tasks the job had
 * @param doneTasks how many of these were done when the job ended
 */
public record FinishedJobRecord(boolean done, int tasks, int doneTasks) {}
