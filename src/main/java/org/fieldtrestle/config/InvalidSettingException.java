package org.fieldtrestle.config;

/** A setting that cannot be used. The message is one line: the field, a colon and the reason. */
public final class InvalidSettingException extends Exception {
  private static final long serialVersionUID = 1;

  /**
   * Creates an exception.
   *
   * @param field the field's name with those of the tables that it is in, or the name of the file
   */
  public InvalidSettingException(String field, String reason) {
    super(field + ": " + reason);
  }
}
