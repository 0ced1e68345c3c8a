package org.fieldtrestle.state;

/** An amount of the resources that a quota limits. */
public record QuotaAmount(double cpus, double gpus) {
  /** No CPUs and no GPUs. */
  public static final QuotaAmount NONE = new QuotaAmount(0, 0);
}
