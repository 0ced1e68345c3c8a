package org.fieldtrestle.simulation.search;

/** Something that was asked for cannot be; the message names it in one line. */
final class BadInput extends Exception {
  private static final long serialVersionUID = 1;

  BadInput(String message) {
    super(message);
  }
}
