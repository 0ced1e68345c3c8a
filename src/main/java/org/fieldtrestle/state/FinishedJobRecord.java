package org.fieldtrestle.state;

/**
 * How a job ended.
 *
 * @param done true if all its tasks were done, false if it was cancelled
 * @param tasks how many tasks it had
 * @param doneTasks how many of them were done at its end
 */
public record FinishedJobRecord(boolean done, int tasks, int doneTasks) {}
