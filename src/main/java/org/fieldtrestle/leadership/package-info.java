/**
 * Decides which shards this controller leads, and for how long it may act as their leader.
 *
 * <p>The package owns the controller's lease at the key-value store, the epochs of the shards that
 * it leads, the leadership fence that bounds acting without an answer from the store, and what
 * other controllers have reported about cancellations and redirected heartbeats. Package {@code
 * controller} starts the membership and decides on leadership transfers; other packages only ask
 * whether this controller may act. All code of the package runs on the reactor's thread.
 */
package org.fieldtrestle.leadership;
