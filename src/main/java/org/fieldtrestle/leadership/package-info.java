/**
 * Which shards this controller leads, and for how long it may act as their leader.
 *
 * <p>The package owns the controller's lease at the key-value store, the epochs of the shards that
 * it leads, the fence that bounds acting without an answer of the store, and what other controllers
 * have reported about cancellations and redirected heartbeats. Package {@code controller} starts it
 * and decides on transfers; other packages only ask whether this controller may act. All of it runs
 * on the reactor's thread.
 */
package org.fieldtrestle.leadership;
