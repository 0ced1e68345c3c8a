/**
 * Reads and writes the cluster's durable state on behalf of one controller.
 *
 * <p>{@link org.fieldtrestle.state.KeyValueClient} sends requests to the key-value store within
 * this controller's share of the store's rate limits. {@link org.fieldtrestle.state.StateCache}
 * owns the controller's copy of everything under {@link
 * org.fieldtrestle.state.StateKeys#LIVE_PREFIX}; only this package changes that copy. {@link
 * org.fieldtrestle.state.StateKeys} and {@link org.fieldtrestle.state.RecordCodec} are the only
 * places that know the names of keys and the stored formats.
 *
 * <p>Every package that needs durable state may call this package, but only on the reactor's
 * thread. The package depends on {@code config}, {@code protocol} and {@code transport}.
 */
package org.fieldtrestle.state;
