/**
 * The messages of the external interfaces (users, workers, cloud, key-value store) and of the
 * protocol between controllers as typed values, with the codecs that read and write them.
 *
 * <p>The names that the external interfaces prescribe, such as {@code hello} and {@code warrant},
 * appear in the codecs of this package and nowhere else. The package has no state; every package
 * and every thread may call its classes. It depends on no other package of this program.
 */
package org.fieldtrestle.protocol;
