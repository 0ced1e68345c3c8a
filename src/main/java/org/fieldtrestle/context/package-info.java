/**
 * What the parts of one controller share.
 *
 * <p>The package owns no state of its own: it passes on the parts that the controller has created.
 * Every package between {@code controller} and {@code cloud} may use it.
 */
package org.fieldtrestle.context;
