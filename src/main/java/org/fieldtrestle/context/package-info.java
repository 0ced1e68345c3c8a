/**
 * The services and data that the components of one controller share.
 *
 * <p>The package owns no state of its own: it gives access to the components that the controller
 * has created. Every package in the layers between {@code controller} and {@code cloud} may use it.
 */
package org.fieldtrestle.context;
