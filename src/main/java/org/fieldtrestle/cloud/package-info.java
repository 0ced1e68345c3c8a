/**
 * The client of the cloud's interface: machine types, the machine list, rentals and returns, within
 * this controller's share of the cloud's request limit.
 *
 * <p>The package owns the machine types as last read and the requests that wait to be sent. It
 * knows nothing of shards or tasks. {@code controller} starts it, {@code context} hands it out and
 * {@code scaling} sends the requests; all of it runs on the event loop, and no class here is safe
 * for use by several threads.
 */
package org.fieldtrestle.cloud;
