package org.fieldtrestle.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.fieldtrestle.config.OperatorSettings;
import org.fieldtrestle.protocol.Priority;

/**
 * Selective Preemption as described in section III.C of the Falcon paper: the score of a task, the
 * order in which waiting tasks are drawn, and the conditions under which a waiting task may preempt
 * a running one. This class depends on neither workers nor messages.
 *
 * <p>Deviation from the paper: the priority of a job takes precedence over the score, which does
 * not depend on the priority.
 */
public final class SelectivePreemption {
  private final OperatorSettings operatorSettings;
  private final RandomGenerator random;

  /**
   * Creates an instance.
   *
   * @param operatorSettings the weights and thresholds
   * @param random the random source of the draws
   */
  public SelectivePreemption(OperatorSettings operatorSettings, RandomGenerator random) {
    this.operatorSettings = operatorSettings;
    this.random = random;
  }

  /**
   * Returns the score of a task on which no other tasks depend (equation 3 of the paper). The
   * remaining time has a lower bound.
   *
   * @param remainingS the estimated time in seconds until the task finishes
   * @param waitedS the time in seconds for which the task has waited
   */
  public double score(double remainingS, double waitedS) {
    return operatorSettings.remainingWeight()
            / Math.max(operatorSettings.remainingTimeFloorS(), remainingS)
        + operatorSettings.waitingWeight() * Math.max(0, waitedS);
  }

  /**
   * Returns a queue of the groups, from which tasks are drawn one after another. The scores must
   * not change while the queue is in use.
   */
  public <T> WaitingQueue<T> queue(List<QueuedGroup<T>> groups) {
    return new WaitingQueue<>(groups, 1 - operatorSettings.delta(), random);
  }

  /**
   * Draws the group of the next task, exactly as a {@link WaitingQueue} of these groups would.
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
   * Returns the groups whose next task fulfils condition C3 (equation 5 of the paper): it outscores
   * at least delta * k of the k waiting tasks. Tasks of a lower priority count as outscored, and
   * within a group the next task counts as outscoring the later ones.
   *
   * @param waiting all groups of tasks that wait for the same worker
   */
  public <T> List<QueuedGroup<T>> groupsFulfillingRankCondition(List<QueuedGroup<T>> waiting) {
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
      long equalTasks = 0;
      for (QueuedGroup<T> group : ascending.subList(start, end)) {
        equalTasks += group.count();
        if (outscored + group.count() - 1 >= required) {
          fulfilling.add(group);
        }
      }
      outscored += equalTasks;
      start = end;
    }
    return fulfilling;
  }

  /**
   * Returns the exclusive end of the run of groups, beginning at {@code start}, that have the same
   * priority and score.
   */
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
   * Returns the running tasks that a waiting task may preempt, lowest score first. The waiting task
   * has to fulfil condition C1 of the paper with a margin. There are two deviations from the paper:
   * only tasks that have a lower priority or are reclaimable are preempted, and only tasks that
   * have run for no more than a small share of their estimated run time.
   */
  public <T, U> List<RunningTask<U>> victims(QueuedGroup<T> waiting, List<RunningTask<U>> running) {
    List<RunningTask<U>> victims = new ArrayList<>();
    for (RunningTask<U> candidate : running) {
      if ((waiting.priority().isHigherThan(candidate.priority()) || candidate.reclaimable())
          && waiting.score() > candidate.score() + operatorSettings.preemptionMargin()
          && isEarlyInRun(candidate.elapsedS(), candidate.estimateS())) {
        victims.add(candidate);
      }
    }
    victims.sort(Comparator.comparingDouble((RunningTask<U> victim) -> victim.score()));
    return victims;
  }

  /**
   * Whether a task has run for so small a share of its estimated run time that it may be preempted.
   */
  boolean isEarlyInRun(double elapsedS, double estimateS) {
    return elapsedS <= operatorSettings.maxVictimRunShare() * estimateS;
  }
}
