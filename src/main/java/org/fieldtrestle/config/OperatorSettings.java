package org.fieldtrestle.config;

/**
 * The operators' settings: parameters of scheduling that the design leaves open. Times are in
 * seconds, shares are from 0 to 1.
 *
 * @param remainingWeight weight of the reciprocal of a task's remaining time in its score (omega 1
 *     of the Falcon paper)
 * @param waitingWeight weight of a task's waiting time in its score (omega 2 of the Falcon paper)
 * @param remainingTimeFloorS lower bound of the remaining time in a score
 * @param delta share of the waiting tasks that a task must outscore before it may preempt
 * @param preemptionMargin by how much the score of a preempting task must exceed the score of its
 *     victim
 * @param preemptionWaitS how long a task must have waited for free resources before it may preempt
 * @param maxVictimRunShare the largest share of its estimated run time that a victim may have run
 * @param reservedJobs capacity that is kept free for classes of jobs that should start within a
 *     given time, as a number of jobs of their size
 */
public record OperatorSettings(
    double remainingWeight,
    double waitingWeight,
    double remainingTimeFloorS,
    double delta,
    double preemptionMargin,
    double preemptionWaitS,
    double maxVictimRunShare,
    double reservedJobs) {
  /** The settings that apply where the file does not set others. */
  public static final OperatorSettings DEFAULT =
      new OperatorSettings(0.5, 0.5, 1, 0.9, 0.5, 10, 0.3, 1);
}
