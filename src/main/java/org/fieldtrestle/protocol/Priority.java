package org.fieldtrestle.protocol;

/** The four urgencies, the highest first. */
public enum Priority {
  CRITICAL,
  URGENT,
  NORMAL,
  LOW;

  public boolean above(Priority other) {
    return ordinal() < other.ordinal();
  }
}
