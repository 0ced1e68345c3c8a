package org.fieldtrestle.scheduling;

import org.fieldtrestle.protocol.Priority;

/**
 * A running task that is a candidate for preemption.
 *
 * @param task the task
 * @param priority the priority of its job
 * @param score its score, computed by {@link SelectivePreemption#score}
 * @param elapsedS the time since it was placed, in seconds
 * @param estimateS its estimated run time in seconds
 * @param reclaimable whether its team uses more than its guaranteed share while the team of the
 *     waiting task uses less than its own
 */
public record RunningTask<T>(
    T task,
    Priority priority,
    double score,
    double elapsedS,
    double estimateS,
    boolean reclaimable) {}
