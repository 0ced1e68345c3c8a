/**
 * Routes tasks to shards: decides how a submitted job is split into task ranges over the shards,
 * and to which shard waiting tasks are reassigned.
 *
 * <p>The package owns this controller's view of the loads of the shards, as reported by the shard
 * leaders. {@code controller} updates the view; {@code api} and {@code scheduling} read it. All
 * calls are made on the event loop. The classes are not thread-safe.
 */
package org.fieldtrestle.routing;
