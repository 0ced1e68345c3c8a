package org.fieldtrestle.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.fieldtrestle.protocol.Priority;

/**
 * Falcon's Selective Preemption: scores, conditions and the draw. Knows nothing of machines or
 * messages.
 */
public final class Falcon {
  private final Tuning tuning;
  private final RandomGenerator random;

  public Falcon(Tuning tuning, RandomGenerator random) {
    this.tuning = tuning;
    this.random = random;
  }

  /** Equation 3: what a task without children scores. */
  public double score(double remainingS, double waitedS) {
    return tuning.remainingWeight() / Math.max(tuning.floorS(), remainingS)
        + tuning.waitingWeight() * Math.max(0, waitedS);
  }

  /** Some waiting tasks that score alike: a range's tasks that wait since the same time. */
  public record Waiting<T>(T what, Priority priority, double score, int count) {}

  /**
   * Draws the group whose task goes next. Only the highest priority among them takes part (our
   * exception: a score knows nothing of priorities), and of these only tasks within the top (1 -
   * delta) by score, each with weight equal to its reverse rank.
   */
  public <T> Waiting<T> next(List<Waiting<T>> waiting) {
    Priority highest = null;
    for (Waiting<T> one : waiting) {
      if (one.count() > 0 && (highest == null || one.priority().above(highest))) {
        highest = one.priority();
      }
    }
    List<Waiting<T>> ranked = new ArrayList<>();
    long k = 0;
    for (Waiting<T> one : waiting) {
      if (one.count() > 0 && one.priority() == highest) {
        ranked.add(one);
        k += one.count();
      }
    }
    if (ranked.isEmpty()) {
      return null;
    }
    ranked.sort(Comparator.comparingDouble((Waiting<T> w) -> w.score()).reversed());
    long eligible = Math.max(1, (long) Math.floor((1 - tuning.delta()) * k));
    return draw(ranked, eligible);
  }

  /** Reverse-rank draw among the first {@code eligible} tasks of groups in falling order. */
  private <T> Waiting<T> draw(List<Waiting<T>> ranked, long eligible) {
    double total = eligible * (eligible + 1) / 2.0;
    double at = random.nextDouble() * total;
    long rank = 0;
    for (Waiting<T> one : ranked) {
      long last = Math.min(eligible, rank + one.count());
      long taken = last - rank;
      // Ranks rank..last-1 weigh eligible-rank down to eligible-last+1.
      double weight = taken * ((eligible - rank) + (eligible - last + 1)) / 2.0;
      if (at < weight || last == eligible) {
        return one;
      }
      at -= weight;
      rank = last;
    }
    return ranked.get(ranked.size() - 1);
  }

  /**
   * Equation 5: of k waiting tasks, this one outscores at least a delta-th. Priorities come first
   * here too, and of tasks that score alike the earlier ranks before the later.
   */
  public <T> boolean outscoresEnough(Waiting<T> one, List<Waiting<T>> waiting) {
    long k = 0;
    long less = 0;
    for (Waiting<T> other : waiting) {
      k += other.count();
      if (other == one) {
        less += other.count() - 1;
      } else if (one.priority().above(other.priority())
          || one.priority() == other.priority() && other.score() < one.score()) {
        less += other.count();
      }
    }
    return k > 0 && less >= tuning.delta() * k;
  }

  /** A running task that might have to give way. */
  public record Running<T>(
      T what, Priority priority, double score, double elapsedS, double estimateS, boolean owed) {}

  /**
   * The running tasks that a waiting one may displace, lowest score first. Condition 1 with our
   * margin; only lower priorities, or work beyond its team's guarantee where the waiting task's
   * team is owed ({@code owed}); and only those that have run a small share of their estimate.
   */
  public <T, U> List<Running<U>> victims(Waiting<T> one, List<Running<U>> running) {
    List<Running<U>> all = new ArrayList<>();
    for (Running<U> victim : running) {
      if ((one.priority().above(victim.priority()) || victim.owed())
          && one.score() > victim.score() + tuning.margin()
          && victim.elapsedS() <= tuning.victimShare() * victim.estimateS()) {
        all.add(victim);
      }
    }
    all.sort(Comparator.comparingDouble((Running<U> v) -> v.score()));
    return all;
  }

  public Tuning tuning() {
    return tuning;
  }
}
