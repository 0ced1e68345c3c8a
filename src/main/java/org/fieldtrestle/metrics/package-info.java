/**
 * Counters and latencies of one controller, for operators.
 *
 * <p>The package owns only these figures; no decision depends on them. Any component of a
 * controller updates them on the reactor's thread, and the statistics page reads them.
 */
package org.fieldtrestle.metrics;
