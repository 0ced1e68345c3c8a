package org.fieldtrestle.simulation.search;

/** Something that was asked for cannot be; the message names it in one line. */
final class InvalidInputException extends Exception {
  private static final long serialVersionUID = 1;

  InvalidInputException(String message) {
    super(message);
  }
}
