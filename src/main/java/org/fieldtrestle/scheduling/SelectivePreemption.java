package org.fieldtrestle.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.fieldtrestle.config.OperatorSettings;
import org.fieldtrestle.protocol.Priority;

/**
 * Falcon's Selective Preemption: scores, conditions and the draw. Knows nothing of machines or
 * messages.
 */
public final class SelectivePreemption {
  private final OperatorSettings operatorSettings;
  private final RandomGenerator random;

  public SelectivePreemption(OperatorSettings operatorSettings, RandomGenerator random) {
    this.operatorSettings = operatorSettings;
    this.random = random;
  }

  /** Equation 3: what a task without children scores. */
  public double score(double remainingS, double waitedS) {
    return operatorSettings.remainingWeight() / Math.max(operatorSettings.floorS(), remainingS)
        + operatorSettings.waitingWeight() * Math.max(0, waitedS);
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
      if (one.count() > 0 && (highest == null || one.priority().isHigherThan(highest))) {
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
    long eligible = Math.max(1, (long) Math.floor((1 - operatorSettings.delta()) * k));
    return draw(ranked, eligible);
  }

  /**
   * Draws one task after the other from the same waiting groups, as {@link #next} would from the
   * list that is left each time. Scores do not change meanwhile, so that one sorting serves all.
   */
  public final class Queue<T> {
    private final List<Slot<T>> slots = new ArrayList<>();

    /** The first slot of the highest priority of which something is left. */
    private int first;

    public Queue(List<Waiting<T>> waiting) {
      for (Waiting<T> one : waiting) {
        if (one.count() > 0) {
          slots.add(new Slot<>(one));
        }
      }
      slots.sort(
          Comparator.comparing((Slot<T> s) -> s.group.priority())
              .thenComparing((a, b) -> Double.compare(b.group.score(), a.group.score())));
    }

    /** The group whose task goes next; null once nothing is left. */
    public Slot<T> next() {
      while (first < slots.size() && slots.get(first).left == 0) {
        first++;
      }
      if (first == slots.size()) {
        return null;
      }
      Priority highest = slots.get(first).group.priority();
      long k = 0;
      int end = first;
      while (end < slots.size() && slots.get(end).group.priority() == highest) {
        k += slots.get(end++).left;
      }
      long eligible = Math.max(1, (long) Math.floor((1 - operatorSettings.delta()) * k));
      double at = random.nextDouble() * (eligible * (eligible + 1) / 2.0);
      long rank = 0;
      for (int i = first; i < end; i++) {
        Slot<T> slot = slots.get(i);
        long last = Math.min(eligible, rank + slot.left);
        long taken = last - rank;
        double weight = taken * ((eligible - rank) + (eligible - last + 1)) / 2.0;
        if (slot.left > 0 && (at < weight || last == eligible)) {
          return slot;
        }
        at -= weight;
        rank = last;
      }
      throw new IllegalStateException("the eligible are among those that are left");
    }
  }

  /** A waiting group in a {@link Queue}, and how many of its tasks are left there. */
  public static final class Slot<T> {
    private final Waiting<T> group;
    private int left;

    Slot(Waiting<T> group) {
      this.group = group;
      this.left = group.count();
    }

    public Waiting<T> group() {
      return group;
    }

    public void takeOne() {
      left--;
    }

    /** Takes all that are left out of the queue; how many they are. */
    public int takeAll() {
      int all = left;
      left = 0;
      return all;
    }
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
      } else if (one.priority().isHigherThan(other.priority())
          || one.priority() == other.priority() && other.score() < one.score()) {
        less += other.count();
      }
    }
    return k > 0 && less >= operatorSettings.delta() * k;
  }

  /**
   * All for which {@link #outscoresEnough} holds, without comparing each with each: what a group
   * outscores is what is of a lower priority, or of its own with a lower score.
   */
  public <T> List<Waiting<T>> outscoringEnough(List<Waiting<T>> waiting) {
    List<Waiting<T>> rising = new ArrayList<>(waiting);
    rising.sort(
        Comparator.comparing((Waiting<T> one) -> one.priority())
            .reversed()
            .thenComparingDouble(Waiting::score));
    long k = 0;
    for (Waiting<T> one : rising) {
      k += one.count();
    }
    List<Waiting<T>> enough = new ArrayList<>();
    long below = 0;
    for (int from = 0; from < rising.size(); ) {
      int to = from;
      long alike = 0;
      while (to < rising.size()
          && rising.get(to).priority() == rising.get(from).priority()
          && rising.get(to).score() == rising.get(from).score()) {
        Waiting<T> one = rising.get(to++);
        alike += one.count();
        if (below + one.count() - 1 >= operatorSettings.delta() * k) {
          enough.add(one);
        }
      }
      below += alike;
      from = to;
    }
    return enough;
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
      if ((one.priority().isHigherThan(victim.priority()) || victim.owed())
          && one.score() > victim.score() + operatorSettings.margin()
          && victim.elapsedS() <= operatorSettings.victimShare() * victim.estimateS()) {
        all.add(victim);
      }
    }
    all.sort(Comparator.comparingDouble((Running<U> v) -> v.score()));
    return all;
  }

  public OperatorSettings operatorSettings() {
    return operatorSettings;
  }
}
