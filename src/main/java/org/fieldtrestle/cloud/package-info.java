/**
 * The client of the cloud's API: machine types, the machine list, rentals and returns, within this
 * controller's share of the cloud's request limit.
 *
 * <p>The package owns the machine types as last read and the requests that wait to be sent. It does
 * not depend on shards or tasks. {@code controller} starts the client, {@code context} provides it
 * to other packages, and {@code scaling} sends requests through it. All calls are made on the event
 * loop. The classes are not thread-safe.
 */
package org.fieldtrestle.cloud;
