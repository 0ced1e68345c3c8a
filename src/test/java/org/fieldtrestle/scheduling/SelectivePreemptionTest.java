package org.fieldtrestle.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.fieldtrestle.config.OperatorSettings;
import org.fieldtrestle.protocol.Priority;
import org.junit.jupiter.api.Test;

/**
 * Compares the scores, draws and conditions of Selective Preemption with the figures of the Falcon
 * paper and with straightforward implementations.
 */
class SelectivePreemptionTest {
  /** The figures of the paper, independent of the default settings. */
  private static final OperatorSettings PAPER =
      new OperatorSettings(0.5, 0.5, 1, 0.35, 0.5, 10, 0.3, 1);

  private final SelectivePreemption selectivePreemption =
      new SelectivePreemption(PAPER, new SplittableRandom(7));

  private static QueuedGroup<String> waiting(String name, Priority priority, double score) {
    return new QueuedGroup<>(name, priority, score, 1);
  }

  @Test
  void scoreFollowsEquationThreeWithLowerBound() {
    assertEquals(0.5 / 20 + 0.5 * 6, selectivePreemption.score(20, 6), 1e-12);
    assertEquals(0.5 + 0.5 * 6, selectivePreemption.score(0.001, 6), 1e-12);
  }

  @Test
  void paperExampleOfTenTasks() {
    List<QueuedGroup<String>> queue = new ArrayList<>();
    for (int i = 1; i <= 10; i++) {
      queue.add(waiting("t" + i, Priority.NORMAL, i));
    }
    List<QueuedGroup<String>> fulfilling = selectivePreemption.groupsFulfillingRankCondition(queue);
    for (int i = 1; i <= 10; i++) {
      // 10 * 0.35 = 3.5: a task has to outscore four others
      assertEquals(i >= 5, fulfilling.contains(queue.get(i - 1)), "t" + i);
      assertEquals(i >= 5, fulfillsRankCondition(queue.get(i - 1), queue), "t" + i);
    }
    for (int i = 0; i < 500; i++) {
      double score = selectivePreemption.draw(queue).score();
      assertTrue(score > 4, "drawn from the top floor(0.65 * 10) = 6: " + score);
    }
  }

  @Test
  void drawIsWeightedByReverseRank() {
    List<QueuedGroup<String>> queue = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      queue.add(waiting("t" + i, Priority.NORMAL, 100 - i));
    }
    int[] drawn = new int[20];
    for (int i = 0; i < 91_000; i++) {
      drawn[Integer.parseInt(selectivePreemption.draw(queue).tasks().substring(1))]++;
    }
    // 13 eligible: weights 13, 12, ... 1 of 91
    for (int rank = 0; rank < 13; rank++) {
      assertEquals((13 - rank) * 1000, drawn[rank], 250, "rank " + rank);
    }
    assertEquals(0, drawn[13]);
  }

  @Property(tries = 300, seed = "31")
  void higherPriorityIsAlwaysDrawnFirst(
      @ForAll @Size(min = 1, max = 30) List<@DoubleRange(min = 0, max = 1000) Double> scores,
      @ForAll @Size(min = 1, max = 30) List<Priority> priorities) {
    List<QueuedGroup<String>> queue = new ArrayList<>();
    Priority highest = Priority.LOW;
    for (int i = 0; i < scores.size(); i++) {
      Priority priority = priorities.get(i % priorities.size());
      queue.add(new QueuedGroup<>("t" + i, priority, scores.get(i), 1 + i % 4));
      highest = priority.isHigherThan(highest) ? priority : highest;
    }
    assertEquals(highest, selectivePreemption.draw(queue).priority());
  }

  /**
   * The queue, which is sorted once, and the single draw give the same results as ranking the whole
   * list again for each task.
   */
  @Property(tries = 300, seed = "33")
  void queueDrawsLikeRankingAnewForEachTask(
      @ForAll @Size(min = 1, max = 25) List<@IntRange(max = 12) Integer> scores,
      @ForAll @Size(min = 1, max = 25) List<Priority> priorities,
      @ForAll @IntRange(min = 1, max = 9) int maxCount,
      @ForAll long seed) {
    List<QueuedGroup<Integer>> groups = new ArrayList<>();
    for (int i = 0; i < scores.size(); i++) {
      Priority priority = priorities.get(i % priorities.size());
      groups.add(new QueuedGroup<>(i, priority, scores.get(i), 1 + (i * 7) % maxCount));
    }
    SplittableRandom expectedRandom = new SplittableRandom(seed);
    SelectivePreemption single = new SelectivePreemption(PAPER, new SplittableRandom(seed));
    WaitingQueue<Integer> queue =
        new SelectivePreemption(PAPER, new SplittableRandom(seed)).queue(List.copyOf(groups));
    SplittableRandom outcomes = new SplittableRandom(seed);
    while (!groups.isEmpty()) {
      QueuedGroup<Integer> expected = drawByRankingAnew(groups, expectedRandom);
      WaitingQueue.Entry<Integer> entry = queue.next();
      assertEquals(expected.tasks(), entry.group().tasks());
      assertEquals(expected, single.draw(groups));
      int index = groups.indexOf(expected);
      if (outcomes.nextInt(4) == 0 || expected.count() == 1) { // no room, or its last task
        assertEquals(expected.count(), entry.takeAll());
        groups.remove(index);
      } else {
        entry.takeOne();
        groups.set(
            index,
            new QueuedGroup<>(
                expected.tasks(), expected.priority(), expected.score(), expected.count() - 1));
      }
    }
    assertFalse(queue.hasNext());
    assertThrows(NoSuchElementException.class, queue::next);
  }

  /** A straightforward implementation of the draw, which ranks the whole list for each task. */
  private static <T> QueuedGroup<T> drawByRankingAnew(
      List<QueuedGroup<T>> waiting, RandomGenerator random) {
    Priority highest = Priority.LOW;
    for (QueuedGroup<T> group : waiting) {
      highest = group.priority().isHigherThan(highest) ? group.priority() : highest;
    }
    List<QueuedGroup<T>> ranked = new ArrayList<>();
    long tasks = 0;
    for (QueuedGroup<T> group : waiting) {
      if (group.priority() == highest) {
        ranked.add(group);
        tasks += group.count();
      }
    }
    ranked.sort(Comparator.comparingDouble((QueuedGroup<T> group) -> group.score()).reversed());
    long eligible = Math.max(1, (long) Math.floor((1 - PAPER.delta()) * tasks));
    double drawn = random.nextDouble() * (eligible * (eligible + 1) / 2.0);
    long rank = 0;
    for (QueuedGroup<T> group : ranked) {
      long last = Math.min(eligible, rank + group.count());
      long taken = last - rank;
      double weight = taken * ((eligible - rank) + (eligible - last + 1)) / 2.0;
      if (drawn < weight || last == eligible) {
        return group;
      }
      drawn -= weight;
      rank = last;
    }
    return ranked.get(ranked.size() - 1);
  }

  @Property(tries = 300, seed = "34")
  void rankConditionForAllGroupsMatchesThatForEachGroup(
      @ForAll @Size(max = 40) List<@IntRange(max = 15) Integer> scores,
      @ForAll @Size(min = 1, max = 40) List<Priority> priorities) {
    List<QueuedGroup<Integer>> queue = new ArrayList<>();
    for (int i = 0; i < scores.size(); i++) {
      Priority priority = priorities.get(i % priorities.size());
      queue.add(new QueuedGroup<>(i, priority, scores.get(i), 1 + i % 5));
    }
    Set<Integer> each = new TreeSet<>();
    for (QueuedGroup<Integer> group : queue) {
      if (fulfillsRankCondition(group, queue)) {
        each.add(group.tasks());
      }
    }
    Set<Integer> atOnce = new TreeSet<>();
    selectivePreemption
        .groupsFulfillingRankCondition(queue)
        .forEach(group -> atOnce.add(group.tasks()));
    assertEquals(each, atOnce);
  }

  /**
   * A straightforward implementation of equation 5, which compares a group with each of the others.
   */
  private static <T> boolean fulfillsRankCondition(
      QueuedGroup<T> group, List<QueuedGroup<T>> waiting) {
    long tasks = 0;
    long outscored = 0;
    for (QueuedGroup<T> other : waiting) {
      tasks += other.count();
      if (other.equals(group)) {
        outscored += other.count() - 1;
      } else if (group.priority().isHigherThan(other.priority())
          || (group.priority() == other.priority() && other.score() < group.score())) {
        outscored += other.count();
      }
    }
    return tasks > 0 && outscored >= PAPER.delta() * tasks;
  }

  @Test
  void highScoreAloneDoesNotPreemptTasksOfTheSamePriority() {
    QueuedGroup<String> waiting = waiting("waiting", Priority.NORMAL, 5000);
    RunningTask<String> running = new RunningTask<>("running", Priority.NORMAL, 1, 0, 50, false);
    assertTrue(selectivePreemption.victims(waiting, List.of(running)).isEmpty());
    RunningTask<String> reclaimable =
        new RunningTask<>("reclaimable", Priority.NORMAL, 1, 0, 50, true);
    assertEquals(
        List.of(reclaimable), selectivePreemption.victims(waiting, List.of(running, reclaimable)));
  }

  @Property(tries = 300, seed = "32")
  void victimsAreOutscoredAndEarlyInTheirRunLowestScoreFirst(
      @ForAll @Size(max = 20) List<@DoubleRange(min = 0, max = 20) Double> scores,
      @ForAll @DoubleRange(min = 0, max = 20) double score,
      @ForAll @DoubleRange(min = 0, max = 60) double elapsedS) {
    List<RunningTask<Integer>> running = new ArrayList<>();
    for (int i = 0; i < scores.size(); i++) {
      running.add(new RunningTask<>(i, Priority.LOW, scores.get(i), elapsedS, 60, false));
    }
    double last = Double.NEGATIVE_INFINITY;
    for (RunningTask<Integer> victim :
        selectivePreemption.victims(waiting("w", Priority.URGENT, score), running)) {
      assertTrue(victim.score() + PAPER.preemptionMargin() < score);
      assertTrue(victim.elapsedS() <= PAPER.maxVictimRunShare() * 60);
      assertFalse(victim.score() < last);
      last = victim.score();
    }
  }
}
