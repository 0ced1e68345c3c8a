/**
 * One controller process: creates its parts and passes requests, peer messages and changes of the
 * state cache on to them.
 *
 * <p>The package owns the shard leaders of this controller, what is known of the liveness of other
 * controllers, and the adoption of orphan machines. Only the root package calls it. All of it runs
 * on the reactor's thread.
 */
package org.fieldtrestle.controller;
