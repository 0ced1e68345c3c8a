/**
 * The leader of one shard: the actor that owns the shard's state, and the wiring of its components.
 *
 * <p>{@link org.fieldtrestle.shard.ShardLeader} owns the workers, task ranges, quota shares and the
 * machine inventory of the shard for one leadership term. They are used on the reactor's thread
 * only. The {@code controller} package creates an actor for each leadership term of a shard, sends
 * it messages, and queries it on the same thread. No other package calls this one.
 */
package org.fieldtrestle.shard;
