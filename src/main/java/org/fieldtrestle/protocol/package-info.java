/**
 * The messages of the given interfaces (users, workers, cloud, key-value store) and of the protocol
 * between controllers, as typed values, with the codecs that read and write them.
 *
 * <p>The names of the given pages, such as {@code hello} and {@code warrant}, appear in the codecs
 * of this package and nowhere else. The package owns no state; its classes may be called by every
 * package and from every thread. It depends on no other package of this program.
 */
package org.fieldtrestle.protocol;
