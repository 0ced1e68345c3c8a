package org.fieldtrestle.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.fieldtrestle.config.OperatorSettings;
import org.fieldtrestle.protocol.Priority;
import org.junit.jupiter.api.Test;

class SelectivePreemptionTest {
  /** The paper's figures, whatever our defaults are. */
  private static final OperatorSettings PAPER =
      new OperatorSettings(0.5, 0.5, 1, 0.35, 0.5, 10, 0.3, 1);

  private final SelectivePreemption falcon =
      new SelectivePreemption(PAPER, new SplittableRandom(7));

  private static SelectivePreemption.Waiting<String> waiting(
      String name, Priority priority, double score) {
    return new SelectivePreemption.Waiting<>(name, priority, score, 1);
  }

  @Test
  void theScoreIsEquationThreeWithAFloor() {
    assertEquals(0.5 / 20 + 0.5 * 6, falcon.score(20, 6), 1e-12);
    assertEquals(0.5 + 0.5 * 6, falcon.score(0.001, 6), 1e-12);
  }

  @Test
  void thePapersExampleOfTenTasks() {
    List<SelectivePreemption.Waiting<String>> queue = new ArrayList<>();
    for (int i = 1; i <= 10; i++) {
      queue.add(waiting("t" + i, Priority.NORMAL, i));
    }
    for (int i = 1; i <= 10; i++) {
      // 10 * 0.35 = 3.5: a task has to outscore four others
      assertEquals(i >= 5, falcon.outscoresEnough(queue.get(i - 1), queue), "t" + i);
    }
    for (int i = 0; i < 500; i++) {
      double score = falcon.next(queue).score();
      assertTrue(score > 4, "drawn from the top floor(0.65 * 10) = 6: " + score);
    }
  }

  @Test
  void theDrawWeighsByReverseRank() {
    List<SelectivePreemption.Waiting<String>> queue = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      queue.add(waiting("t" + i, Priority.NORMAL, 100 - i));
    }
    int[] drawn = new int[20];
    for (int i = 0; i < 91_000; i++) {
      drawn[Integer.parseInt(falcon.next(queue).what().substring(1))]++;
    }
    // 13 eligible: weights 13, 12, ... 1 of 91
    for (int rank = 0; rank < 13; rank++) {
      assertEquals((13 - rank) * 1000, drawn[rank], 250, "rank " + rank);
    }
    assertEquals(0, drawn[13]);
  }

  @Property(tries = 300, seed = "31")
  void aHigherPriorityIsAlwaysDrawnFirst(
      @ForAll @Size(min = 1, max = 30) List<@DoubleRange(min = 0, max = 1000) Double> scores,
      @ForAll @Size(min = 1, max = 30) List<Priority> priorities) {
    List<SelectivePreemption.Waiting<String>> queue = new ArrayList<>();
    Priority highest = Priority.LOW;
    for (int i = 0; i < scores.size(); i++) {
      Priority priority = priorities.get(i % priorities.size());
      queue.add(new SelectivePreemption.Waiting<>("t" + i, priority, scores.get(i), 1 + i % 4));
      highest = priority.isHigherThan(highest) ? priority : highest;
    }
    assertEquals(highest, falcon.next(queue).priority());
  }

  /** The plain form: the whole list is ranked anew for each task that is drawn. */
  @Property(tries = 300, seed = "33")
  void oneSortingDrawsWhatRankingAnewEachTimeWould(
      @ForAll @Size(min = 1, max = 25) List<@IntRange(max = 12) Integer> scores,
      @ForAll @Size(min = 1, max = 25) List<Priority> priorities,
      @ForAll @IntRange(min = 1, max = 9) int most,
      @ForAll long seed) {
    List<SelectivePreemption.Waiting<Integer>> plain = new ArrayList<>();
    for (int i = 0; i < scores.size(); i++) {
      Priority priority = priorities.get(i % priorities.size());
      plain.add(new SelectivePreemption.Waiting<>(i, priority, scores.get(i), 1 + (i * 7) % most));
    }
    SelectivePreemption ranked = new SelectivePreemption(PAPER, new SplittableRandom(seed));
    SelectivePreemption.Queue<Integer> queue =
        new SelectivePreemption(PAPER, new SplittableRandom(seed)).new Queue<>(List.copyOf(plain));
    SplittableRandom outcome = new SplittableRandom(seed);
    while (!plain.isEmpty()) {
      SelectivePreemption.Waiting<Integer> expected = ranked.next(plain);
      SelectivePreemption.Slot<Integer> slot = queue.next();
      assertEquals(expected.what(), slot.group().what());
      int at = plain.indexOf(expected);
      if (outcome.nextInt(4) == 0 || expected.count() == 1) { // found no room, or was the last
        assertEquals(expected.count(), slot.takeAll());
        plain.remove(at);
      } else {
        slot.takeOne();
        plain.set(
            at,
            new SelectivePreemption.Waiting<>(
                expected.what(), expected.priority(), expected.score(), expected.count() - 1));
      }
    }
    assertNull(queue.next());
  }

  @Property(tries = 300, seed = "34")
  void conditionThreeForAllAtOnceIsConditionThreeForEach(
      @ForAll @Size(max = 40) List<@IntRange(max = 15) Integer> scores,
      @ForAll @Size(min = 1, max = 40) List<Priority> priorities) {
    List<SelectivePreemption.Waiting<Integer>> queue = new ArrayList<>();
    for (int i = 0; i < scores.size(); i++) {
      Priority priority = priorities.get(i % priorities.size());
      queue.add(new SelectivePreemption.Waiting<>(i, priority, scores.get(i), 1 + i % 5));
    }
    Set<Integer> each = new TreeSet<>();
    queue.stream().filter(w -> falcon.outscoresEnough(w, queue)).forEach(w -> each.add(w.what()));
    Set<Integer> atOnce = new TreeSet<>();
    falcon.outscoringEnough(queue).forEach(w -> atOnce.add(w.what()));
    assertEquals(each, atOnce);
  }

  @Test
  void anAgedSwarmEvictsNobodyOfItsOwnPriority() {
    SelectivePreemption.Waiting<String> aged = waiting("aged", Priority.NORMAL, 5000);
    SelectivePreemption.Running<String> fresh =
        new SelectivePreemption.Running<>("fresh", Priority.NORMAL, 1, 0, 50, false);
    assertTrue(falcon.victims(aged, List.of(fresh)).isEmpty());
    SelectivePreemption.Running<String> owed =
        new SelectivePreemption.Running<>("owed", Priority.NORMAL, 1, 0, 50, true);
    assertEquals(List.of(owed), falcon.victims(aged, List.of(fresh, owed)));
  }

  @Property(tries = 300, seed = "32")
  void victimsAreOutscoredHaveRunLittleAndTheLowestComesFirst(
      @ForAll @Size(max = 20) List<@DoubleRange(min = 0, max = 20) Double> scores,
      @ForAll @DoubleRange(min = 0, max = 20) double score,
      @ForAll @DoubleRange(min = 0, max = 60) double elapsedS) {
    List<SelectivePreemption.Running<Integer>> running = new ArrayList<>();
    for (int i = 0; i < scores.size(); i++) {
      running.add(
          new SelectivePreemption.Running<>(i, Priority.LOW, scores.get(i), elapsedS, 60, false));
    }
    double last = Double.NEGATIVE_INFINITY;
    for (SelectivePreemption.Running<Integer> victim :
        falcon.victims(waiting("w", Priority.URGENT, score), running)) {
      assertTrue(victim.score() + PAPER.margin() < score);
      assertTrue(victim.elapsedS() <= PAPER.victimShare() * 60);
      assertFalse(victim.score() < last);
      last = victim.score();
    }
  }
}
