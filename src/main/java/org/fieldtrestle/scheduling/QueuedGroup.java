package org.fieldtrestle.scheduling;

import org.fieldtrestle.protocol.Priority;

/**
 * A group of waiting tasks that have the same priority and score and are therefore ranked together.
 *
 * @param tasks the tasks of the group
 * @param priority the priority by which the tasks are drawn
 * @param score the score of the tasks, computed by {@link SelectivePreemption#score}
 * @param count the number of waiting tasks
 */
public record QueuedGroup<T>(T tasks, Priority priority, double score, int count) {}
