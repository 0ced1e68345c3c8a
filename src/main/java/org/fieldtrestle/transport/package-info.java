/**
 * The event loop with its clocks, HTTP, and frames between controllers.
 *
 * <p>The package owns the sockets of the process and the meter of its event loop. It knows no other
 * package. Interfaces ({@link org.fieldtrestle.transport.Reactor}, {@link
 * org.fieldtrestle.transport.Http}, {@link org.fieldtrestle.transport.PeerSender}) may be used
 * everywhere; the classes on Netty are created by the root package only.
 */
package org.fieldtrestle.transport;
