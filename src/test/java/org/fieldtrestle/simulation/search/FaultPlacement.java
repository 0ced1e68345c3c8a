package org.fieldtrestle.simulation.search;

/**
 * A fault before a step of a run.
 *
 * @param step the number of the step, counted from 0
 * @param lengthMs for how long it goes on; 0 where the fault has no length
 */
record FaultPlacement(int step, Fault fault, long lengthMs) {
  @Override
  public String toString() {
    return fault + (lengthMs > 0 ? " for " + lengthMs + " ms" : "") + " before step " + step;
  }
}
