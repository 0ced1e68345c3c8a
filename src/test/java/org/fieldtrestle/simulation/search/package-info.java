/**
 * A search for broken rules: short scenarios on the simulated cluster are played again and again,
 * each time with a fault placed before one of their steps.
 */
package org.fieldtrestle.simulation.search;
