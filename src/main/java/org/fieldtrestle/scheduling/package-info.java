/**
 * Decides which waiting task of a shard is placed on which worker, which running tasks are
 * preempted for it, how much of a team's quota the shard may use, and which waiting tasks are
 * reassigned to another shard.
 *
 * <p>The package owns the shard's pending changes to quota shares, the moving average of the size
 * of latency-sensitive jobs, and the draw among waiting tasks. Tasks, workers and task ranges
 * belong to the package {@code worker} and are read and changed only through its methods. Only
 * {@code shard} calls this package, always on the controller's event loop. The classes are not
 * thread-safe.
 */
package org.fieldtrestle.scheduling;
