package org.fieldtrestle.scheduling;

import org.fieldtrestle.protocol.Priority;

/**
 * A running task that is a candidate for preemption.
 *
 * @param task the task
 * @param priority the priority of its job
 * @param score its score by {@link SelectivePreemption#score}
 * @param elapsedS seconds since it was placed
 * @param estimateS estimated run time in seconds
 * @param reclaimable whether it runs beyond its team's guaranteed share while the waiting task's
 *     team is below its own
 */
public record RunningTask<T>(
    T task,
    Priority priority,
    double score,
    double elapsedS,
    double estimateS,
    boolean reclaimable) {}
