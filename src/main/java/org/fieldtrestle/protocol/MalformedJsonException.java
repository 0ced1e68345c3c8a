package org.fieldtrestle.protocol;

/**
 * Foreign JSON that breaks its protocol. The message is the name of the first field that is missing
 * or invalid, as it is on the wire, or says that the input is no JSON at all.
 */
public final class MalformedJsonException extends Exception {
  private static final long serialVersionUID = 1;

  /** Creates an exception that names the field, or says what else is wrong. */
  public MalformedJsonException(String message) {
    super(message);
  }
}
