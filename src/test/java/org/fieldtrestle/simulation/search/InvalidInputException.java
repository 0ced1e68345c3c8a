package org.fieldtrestle.simulation.search;

/** Thrown if the input of the search is invalid; the message names the reason in one line. */
final class InvalidInputException extends Exception {
  private static final long serialVersionUID = 1;

  InvalidInputException(String message) {
    super(message);
  }
}
