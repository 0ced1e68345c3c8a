package org.fieldtrestle.config;

/**
 * The operators' own settings: parameters that the design leaves open. Times are in seconds, shares
 * from 0 to 1.
 *
 * @param remainingWeight weight of 1/remaining time in a score (the paper's omega 1)
 * @param waitingWeight weight of waiting time in a score (the paper's omega 2)
 * @param floorS least remaining time that a score assumes
 * @param delta share of the waiting tasks that a preempting task has to outscore
 * @param margin how much a victim's score has to be exceeded by
 * @param preemptionWaitS how long a task waits without free room before it may preempt
 * @param victimShare a victim may have run at most this share of its estimated run time
 * @param reserve room kept for classes that are to start within some time, in jobs of their size
 */
public record OperatorSettings(
    double remainingWeight,
    double waitingWeight,
    double floorS,
    double delta,
    double margin,
    double preemptionWaitS,
    double victimShare,
    double reserve) {
  /** The settings where the file does not set others. */
  public static final OperatorSettings DEFAULT =
      new OperatorSettings(0.5, 0.5, 1, 0.9, 0.5, 10, 0.3, 1);
}
