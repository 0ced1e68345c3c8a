/**
 * The workers of a shard and the tasks on them: which heartbeats are accepted, the state of each
 * attempt, which commands a worker receives, and the progress of the task ranges.
 *
 * <p>This package owns {@link org.fieldtrestle.worker.Worker}, {@link
 * org.fieldtrestle.worker.TaskAttempt}, {@link org.fieldtrestle.worker.TaskRange} and the sums that
 * are computed from them. All of this state is in memory and belongs to one leadership term. It is
 * learned from the state cache and from heartbeats. Durable state is written only about task ranges
 * and the end of their jobs.
 *
 * <p>The actor of a shard ({@code org.fieldtrestle.shard}) creates these objects and calls them on
 * its own thread; {@code scheduling} and {@code scaling} read them and call their state transitions
 * in the same turn. No class here is safe for use by several threads. The only type that is used
 * outside of a shard is {@link org.fieldtrestle.worker.JobCompletion}, which has no state.
 */
package org.fieldtrestle.worker;
