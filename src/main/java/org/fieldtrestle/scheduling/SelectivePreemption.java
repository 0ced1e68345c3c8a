package org.fieldtrestle.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.fieldtrestle.config.OperatorSettings;
import org.fieldtrestle.protocol.Priority;

/**
 * Selective Preemption as in the Falcon paper, section III.C: the score of a task, the order in
 * which waiting tasks are drawn, and the conditions under which one may preempt. It knows neither
 * workers nor messages.
 *
 * <p>One exception to the paper: a job's priority comes before the score, which knows nothing of
 * priorities.
 */
public final class SelectivePreemption {
  private final OperatorSettings operatorSettings;
  private final RandomGenerator random;

  /**
   * Sets up the calculation.
   *
   * @param operatorSettings weights and thresholds
   * @param random the source of the draws
   */
  public SelectivePreemption(OperatorSettings operatorSettings, RandomGenerator random) {
    this.operatorSettings = operatorSettings;
    this.random = random;
  }

  /**
   * The score of a task without dependent tasks (equation 3); remaining time has a lower bound.
   *
   * @param remainingS estimated seconds until the task has finished
   * @param waitedS seconds that the task has waited
   */
  public double score(double remainingS, double waitedS) {
    return operatorSettings.remainingWeight()
            / Math.max(operatorSettings.remainingTimeFloorS(), remainingS)
        + operatorSettings.waitingWeight() * Math.max(0, waitedS);
  }

  /** Queues groups for drawing one task after the other. Scores must not change meanwhile. */
  public <T> WaitingQueue<T> queue(List<QueuedGroup<T>> groups) {
    return new WaitingQueue<>(groups, 1 - operatorSettings.delta(), random);
  }

  /**
   * Draws the group whose task goes next, as a {@link WaitingQueue} of the groups would.
   *
   * @param groups at least one group, none of them empty
   */
  public <T> QueuedGroup<T> draw(List<QueuedGroup<T>> groups) {
    return queue(withHighestPriority(groups)).next().group();
  }

  private static <T> List<QueuedGroup<T>> withHighestPriority(List<QueuedGroup<T>> groups) {
    Priority highest = Priority.LOW;
    for (QueuedGroup<T> group : groups) {
      if (group.priority().isHigherThan(highest)) {
        highest = group.priority();
      }
    }
    List<QueuedGroup<T>> drawable = new ArrayList<>();
    for (QueuedGroup<T> group : groups) {
      if (group.priority() == highest) {
        drawable.add(group);
      }
    }
    return drawable;
  }

  /**
   * The groups whose next task fulfils condition C3 (equation 5): of k waiting tasks it outscores
   * at least delta * k. Tasks of a lower priority count as outscored, and of tasks with the same
   * score the earlier one ranks before the later.
   *
   * @param waiting all groups that wait for the same worker
   */
  public <T> List<QueuedGroup<T>> fulfillingRankCondition(List<QueuedGroup<T>> waiting) {
    List<QueuedGroup<T>> ascending = new ArrayList<>(waiting);
    ascending.sort(
        Comparator.comparing((QueuedGroup<T> group) -> group.priority())
            .reversed()
            .thenComparingDouble(QueuedGroup::score));
    long waitingTasks = 0;
    for (QueuedGroup<T> group : ascending) {
      waitingTasks += group.count();
    }
    double required = operatorSettings.delta() * waitingTasks;
    List<QueuedGroup<T>> fulfilling = new ArrayList<>();
    long outscored = 0;
    int start = 0;
    while (start < ascending.size()) {
      int end = endOfEqualRank(ascending, start);
      long equal = 0;
      for (QueuedGroup<T> group : ascending.subList(start, end)) {
        equal += group.count();
        if (outscored + group.count() - 1 >= required) {
          fulfilling.add(group);
        }
      }
      outscored += equal;
      start = end;
    }
    return fulfilling;
  }

  /** The end (exclusive) of the groups that have the priority and the score of the first one. */
  private static <T> int endOfEqualRank(List<QueuedGroup<T>> sorted, int start) {
    QueuedGroup<T> first = sorted.get(start);
    int end = start + 1;
    while (end < sorted.size()
        && sorted.get(end).priority() == first.priority()
        && sorted.get(end).score() == first.score()) {
      end++;
    }
    return end;
  }

  /**
   * The running tasks that a waiting one may preempt, lowest score first. Condition C1 with a
   * margin, and two exceptions to the paper: only tasks of a lower priority or reclaimable ones are
   * preempted, and only those that have run a small share of their estimate.
   */
  public <T, U> List<RunningTask<U>> victims(QueuedGroup<T> waiting, List<RunningTask<U>> running) {
    List<RunningTask<U>> victims = new ArrayList<>();
    for (RunningTask<U> candidate : running) {
      if ((waiting.priority().isHigherThan(candidate.priority()) || candidate.reclaimable())
          && waiting.score() > candidate.score() + operatorSettings.preemptionMargin()
          && hasRunLittle(candidate.elapsedS(), candidate.estimateS())) {
        victims.add(candidate);
      }
    }
    victims.sort(Comparator.comparingDouble((RunningTask<U> victim) -> victim.score()));
    return victims;
  }

  /** Whether a task has run so small a share of its estimate that it may be preempted. */
  boolean hasRunLittle(double elapsedS, double estimateS) {
    return elapsedS <= operatorSettings.maxVictimRunShare() * estimateS;
  }
}
