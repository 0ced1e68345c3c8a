package org.fieldtrestle.protocol;

/**
 * Thrown for received JSON that violates its protocol. The message is the name on the wire of the
 * first field that is missing or invalid, or states that the input is not JSON or not an object.
 * Answers to users and workers contain the message.
 */
public final class MalformedJsonException extends Exception {
  private static final long serialVersionUID = 1;

  /**
   * Creates an exception.
   *
   * @param message the name of the field, or another fault
   */
  public MalformedJsonException(String message) {
    super(message);
  }
}
