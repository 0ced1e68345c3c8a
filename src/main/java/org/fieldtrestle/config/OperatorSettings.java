package org.fieldtrestle.config;

/**
 * The open figures of the design, with their defaults. Those of time are ratios to the platform's
 * figures where one fits.
 *
 * @param remainingWeight weight of 1/remaining time in a score (the paper's omega 1)
 * @param waitingWeight weight of waiting time in a score (the paper's omega 2)
 * @param floorS least remaining time that a score assumes
 * @param delta share of the waiting tasks that a preempting one has to outscore
 * @param margin how much a victim's score has to be exceeded by
 * @param evictWaitS wait without free room before a task may evict
 * @param victimShare a victim may have run at most this share of its estimate
 * @param reserve room kept for classes that are to start within some time, in jobs of their size
 */
public record OperatorSettings(
    double remainingWeight,
    double waitingWeight,
    double floorS,
    double delta,
    double margin,
    double evictWaitS,
    double victimShare,
    double reserve) {
  public static final OperatorSettings DEFAULT =
      new OperatorSettings(0.5, 0.5, 1, 0.9, 0.5, 10, 0.3, 1);
}
