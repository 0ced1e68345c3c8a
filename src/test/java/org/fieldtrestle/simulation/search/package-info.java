/**
 * A search for violations of invariants: short scenarios are run on the simulated cluster again and
 * again, each time with faults injected before one or two of their steps.
 */
package org.fieldtrestle.simulation.search;
