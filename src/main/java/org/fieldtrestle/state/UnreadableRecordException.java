package org.fieldtrestle.state;

/**
 * A stored value that this version cannot use: damaged, or of a form that it does not know. The
 * message says which.
 */
public final class UnreadableRecordException extends Exception {
  private static final long serialVersionUID = 1;

  UnreadableRecordException(String reason) {
    super(reason);
  }
}
