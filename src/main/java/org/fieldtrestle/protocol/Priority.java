package org.fieldtrestle.protocol;

/** The priorities of jobs, from the highest to the lowest. */
public enum Priority {
  CRITICAL,
  URGENT,
  NORMAL,
  LOW;

  /** Whether jobs of this priority take precedence over jobs of the other. */
  public boolean isHigherThan(Priority other) {
    return compareTo(other) < 0;
  }
}
