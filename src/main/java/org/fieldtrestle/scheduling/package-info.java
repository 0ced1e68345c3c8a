/**
 * Decides which waiting task of a shard is placed on which worker, which running task makes room
 * for it, how much of a team's quota the shard may use and which waiting tasks another shard takes.
 *
 * <p>The package owns the shard's pending changes to quota shares, the moving average of the size
 * of latency-sensitive jobs, and the draw among waiting tasks. Tasks, workers and ranges belong to
 * {@code worker}, which is asked and told, never bypassed. Only {@code shard} calls this package,
 * always on the shard's event loop; no class here is safe for use by several threads.
 */
package org.fieldtrestle.scheduling;
