package org.fieldtrestle.state;

/** An amount of the resources that a quota limits. */
public record QuotaAmount(double cpus, double gpus) {
  /** No CPUs and no GPUs. */
  public static final QuotaAmount NONE = new QuotaAmount(0, 0);

  /** Tolerance for rounding errors in sums of resources. */
  private static final double ROUNDING_TOLERANCE = 1e-6;

  /** Returns the sum of this amount and another one. */
  public QuotaAmount plus(QuotaAmount other) {
    return new QuotaAmount(cpus + other.cpus, gpus + other.gpus);
  }

  /** Returns what is left of this amount without another one; not less than nothing. */
  public QuotaAmount minus(QuotaAmount other) {
    return new QuotaAmount(Math.max(0, cpus - other.cpus), Math.max(0, gpus - other.gpus));
  }

  /** Returns a multiple of this amount. */
  public QuotaAmount times(double factor) {
    return new QuotaAmount(cpus * factor, gpus * factor);
  }

  /** Returns the smaller amount of each resource. */
  public QuotaAmount min(QuotaAmount other) {
    return new QuotaAmount(Math.min(cpus, other.cpus), Math.min(gpus, other.gpus));
  }

  /** Returns the larger amount of each resource. */
  public QuotaAmount max(QuotaAmount other) {
    return new QuotaAmount(Math.max(cpus, other.cpus), Math.max(gpus, other.gpus));
  }

  /** Whether no resource exceeds that of another amount. */
  public boolean fitsIn(QuotaAmount other) {
    return cpus <= other.cpus + ROUNDING_TOLERANCE && gpus <= other.gpus + ROUNDING_TOLERANCE;
  }
}
