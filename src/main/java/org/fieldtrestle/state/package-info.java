/**
 * The cluster's durable state, as one controller reads and writes it.
 *
 * <p>{@link org.fieldtrestle.state.KeyValueClient} sends requests to the key-value store within
 * this controller's part of its rate limits. {@link org.fieldtrestle.state.StateCache} owns the
 * copy of everything under {@link org.fieldtrestle.state.StateKeys#LIVE_PREFIX} that the controller
 * follows; only this package changes it. {@link org.fieldtrestle.state.StateKeys} and {@link
 * org.fieldtrestle.state.RecordCodec} are the only places that know the names of keys and the
 * stored forms.
 *
 * <p>May be called by every package that needs durable state, on the event loop's thread alone. It
 * depends on {@code config}, {@code protocol} and {@code transport}.
 */
package org.fieldtrestle.state;
