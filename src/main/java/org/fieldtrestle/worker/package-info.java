/**
 * The workers of a shard and the tasks on them: which heartbeats are accepted, where each attempt
 * is, which commands a worker gets, and what becomes of a task range.
 *
 * <p>State owned here, all of it in memory and all of one leadership term: {@link
 * org.fieldtrestle.worker.Worker}, {@link org.fieldtrestle.worker.TaskAttempt}, {@link
 * org.fieldtrestle.worker.TaskRange} and the sums kept of them. It is learned from the state cache
 * and from heartbeats. Durable state is written only about task ranges and the end of their jobs.
 *
 * <p>The actor of a shard ({@code org.fieldtrestle.shard}) creates these objects and calls them on
 * its own thread; {@code scheduling} and {@code scaling} read them and call the named transitions
 * in the same turn. Nothing here is safe for use by several threads. The only type used outside of
 * a shard is {@link org.fieldtrestle.worker.JobCompletion}, which has no state.
 */
package org.fieldtrestle.worker;
