/**
 * Keeps a shard's fleet at the size that its work needs: replaces machines that are of no use,
 * returns idle ones, rents more for waiting work, adopts orphans and writes the machine inventory.
 *
 * <p>The package owns the inventory's pending updates, the rental and the return in flight, the
 * moving average of arriving work, and what the cloud's machine list has shown so far. Workers
 * belong to {@code worker}; this package drains, cordons and terminates them through their methods.
 * Only {@code shard} and {@code controller} call this package, always on the shard's event loop; no
 * class here is safe for use by several threads.
 */
package org.fieldtrestle.scaling;
