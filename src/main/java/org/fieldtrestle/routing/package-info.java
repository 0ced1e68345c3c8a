/**
 * Routes tasks to shards: how a submitted job is split into ranges over them, and which shard takes
 * waiting tasks from another.
 *
 * <p>The package owns this controller's view of the shards' loads, as their leaders have reported
 * them. {@code controller} updates it, {@code api} and {@code scheduling} read it; all of that
 * happens on the event loop, and no class here is safe for use by several threads.
 */
package org.fieldtrestle.routing;
