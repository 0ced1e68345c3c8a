/**
 * Counters and latencies of one controller, for operators.
 *
 * <p>The package owns nothing but these figures; no decision depends on them. Any part of a
 * controller records into them, on the reactor's thread, and the statistics page reads them.
 */
package org.fieldtrestle.metrics;
