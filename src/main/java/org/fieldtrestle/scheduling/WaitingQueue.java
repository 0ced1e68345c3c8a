package org.fieldtrestle.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.random.RandomGenerator;
import org.fieldtrestle.protocol.Priority;

/**
 * The waiting tasks from which Falcon draws the next one to place. Only tasks of the highest
 * priority take part, of these only the top (1 - delta) by score, each with its reverse rank as
 * weight (the paper's section III.C).
 *
 * <p>Scores do not change while the queue is in use, so that the groups are sorted once.
 */
public final class WaitingQueue<T> {
  /** A group in the queue and how many of its tasks are left there. */
  public static final class Entry<T> {
    private final QueuedGroup<T> group;
    private int left;

    Entry(QueuedGroup<T> group) {
      this.group = group;
      this.left = group.count();
    }

    /** The group as it was queued. */
    public QueuedGroup<T> group() {
      return group;
    }

    /** Takes one task of the group out of the queue. */
    public void takeOne() {
      left--;
    }

    /** Takes all remaining tasks of the group out of the queue and returns their number. */
    public int takeAll() {
      int taken = left;
      left = 0;
      return taken;
    }
  }

  private final List<Entry<T>> entries = new ArrayList<>();
  private final double eligibleShare;
  private final RandomGenerator random;

  /** Index of the first entry that has tasks left. */
  private int first;

  WaitingQueue(List<QueuedGroup<T>> groups, double eligibleShare, RandomGenerator random) {
    this.eligibleShare = eligibleShare;
    this.random = random;
    for (QueuedGroup<T> group : groups) {
      if (group.count() > 0) {
        entries.add(new Entry<>(group));
      }
    }
    entries.sort(
        Comparator.comparing((Entry<T> entry) -> entry.group.priority())
            .thenComparing((a, b) -> Double.compare(b.group.score(), a.group.score())));
  }

  /** Whether any task is left. */
  public boolean hasNext() {
    while (first < entries.size() && entries.get(first).left == 0) {
      first++;
    }
    return first < entries.size();
  }

  /**
   * Draws the group whose task goes next. The task stays in the queue until it is taken.
   *
   * @throws NoSuchElementException if no task is left
   */
  public Entry<T> next() {
    if (!hasNext()) {
      throw new NoSuchElementException("no task is left");
    }
    Priority highest = entries.get(first).group.priority();
    long tasks = 0;
    int end = first;
    while (end < entries.size() && entries.get(end).group.priority() == highest) {
      tasks += entries.get(end).left;
      end++;
    }
    return drawByReverseRank(end, Math.max(1, (long) Math.floor(eligibleShare * tasks)));
  }

  /** Draws among the first {@code eligible} tasks of the entries before {@code end}. */
  private Entry<T> drawByReverseRank(int end, long eligible) {
    double totalWeight = eligible * (eligible + 1) / 2.0;
    double drawn = random.nextDouble() * totalWeight;
    long rank = 0;
    for (int i = first; i < end; i++) {
      Entry<T> entry = entries.get(i);
      long endRank = Math.min(eligible, rank + entry.left);
      long drawable = endRank - rank;
      // Ranks rank..endRank-1 weigh eligible-rank down to eligible-endRank+1.
      double weight = drawable * ((eligible - rank) + (eligible - endRank + 1)) / 2.0;
      if (entry.left > 0 && (drawn < weight || endRank == eligible)) {
        return entry;
      }
      drawn -= weight;
      rank = endRank;
    }
    throw new IllegalStateException("fewer tasks are left than are eligible");
  }
}
