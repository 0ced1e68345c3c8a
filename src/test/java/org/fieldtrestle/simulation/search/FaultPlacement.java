package org.fieldtrestle.simulation.search;

/**
 * A fault that is injected before a step of a run.
 *
 * @param step the number of the step, counted from 0
 * @param lengthMs how long the fault lasts; 0 if it has no length
 */
record FaultPlacement(int step, Fault fault, long lengthMs) {
  @Override
  public String toString() {
    return fault + (lengthMs > 0 ? " for " + lengthMs + " ms" : "") + " before step " + step;
  }
}
