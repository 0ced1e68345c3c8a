/**
 * Keeps a shard's fleet at the size that its work needs: replaces unusable machines, returns idle
 * ones, rents more for waiting work, adopts orphans and writes the machine inventory.
 *
 * <p>The package owns the inventory's pending updates, the rental request and the return request in
 * flight, the moving average of arriving work, and what the cloud's machine list has shown so far.
 * Workers belong to the package {@code worker}; this package drains, cordons and terminates them
 * through their methods. Only {@code shard} and {@code controller} call this package, always on the
 * controller's event loop. The classes are not thread-safe.
 */
package org.fieldtrestle.scaling;
