package org.fieldtrestle.config;

/** Thrown for an invalid setting. The message is one line: the field, a colon and the reason. */
public final class InvalidSettingException extends Exception {
  private static final long serialVersionUID = 1;

  /**
   * Creates an exception.
   *
   * @param field the full name of the field, which includes the tables that hold it, or the option
   *     or file that cannot be read
   */
  public InvalidSettingException(String field, String reason) {
    super(field + ": " + reason);
  }
}
