package org.fieldtrestle.protocol;

/** The four priorities of jobs, the highest first. */
public enum Priority {
  CRITICAL,
  URGENT,
  NORMAL,
  LOW;

  /** Whether work of this priority goes before work of the other. */
  public boolean isHigherThan(Priority other) {
    return compareTo(other) < 0;
  }
}
