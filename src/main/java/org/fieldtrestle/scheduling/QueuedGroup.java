package org.fieldtrestle.scheduling;

import org.fieldtrestle.protocol.Priority;

/**
 * Waiting tasks that have the same priority and the same score, so that they are ranked together.
 *
 * @param tasks the tasks that the group stands for
 * @param priority the priority that the draw uses
 * @param score the tasks' score by {@link SelectivePreemption#score}
 * @param count how many tasks wait
 */
public record QueuedGroup<T>(T tasks, Priority priority, double score, int count) {}
