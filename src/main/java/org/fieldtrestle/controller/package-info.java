/**
 * The controller itself: creates its components and passes requests, peer messages and changes of
 * the state cache on to them.
 *
 * <p>The package owns the shard leaders of this controller, the liveness of other controllers as
 * far as it is known, and the adoption of orphan machines. Only the root package calls it. All of
 * it runs on the reactor's thread.
 */
package org.fieldtrestle.controller;
