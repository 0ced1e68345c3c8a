package org.fieldtrestle.scheduling;

/** An amount of the resources that a quota limits. */
record QuotaAmount(double cpus, double gpus) {
  /** Nothing of either. */
  static final QuotaAmount NONE = new QuotaAmount(0, 0);
}
