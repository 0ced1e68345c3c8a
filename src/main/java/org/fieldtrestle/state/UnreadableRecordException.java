package org.fieldtrestle.state;

/**
 * Thrown for a stored value that this version cannot use, because the value is damaged or has an
 * unknown format. The message states which.
 */
public final class UnreadableRecordException extends Exception {
  private static final long serialVersionUID = 1;

  UnreadableRecordException(String reason) {
    super(reason);
  }
}
