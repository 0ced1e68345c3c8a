/**
 * One shard that this controller leads: the actor that owns its state, and how its parts work
 * together.
 *
 * <p>{@link org.fieldtrestle.shard.ShardLeader} owns the workers, task ranges, quota shares and the
 * machine inventory of the shard for one leadership term. All of that is used on the reactor's
 * thread only. The {@code controller} package creates a shard's actor with each term, sends it
 * messages, and asks it for figures on the same thread; nothing else calls this package.
 */
package org.fieldtrestle.shard;
