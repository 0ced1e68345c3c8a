/**
 * The event loop with its clocks, HTTP, and the transport of frames between controllers.
 *
 * <p>The package owns the sockets of the process and the meter of its event loop. It depends on no
 * other package. Its interfaces ({@link org.fieldtrestle.transport.Reactor}, {@link
 * org.fieldtrestle.transport.Http}, {@link org.fieldtrestle.transport.PeerSender}) may be used by
 * all packages. Only the root package creates the classes that are based on Netty.
 */
package org.fieldtrestle.transport;
