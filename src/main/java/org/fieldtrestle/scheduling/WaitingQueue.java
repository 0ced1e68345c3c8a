package org.fieldtrestle.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.random.RandomGenerator;
import org.fieldtrestle.protocol.Priority;

/**
 * A queue of waiting tasks from which the next task to place is drawn. Only tasks of the highest
 * priority are eligible, and of these only the top (1 - delta) by score. Each is weighted by its
 * reverse rank (section III.C of the Falcon paper).
 *
 * <p>Scores must not change while the queue is in use, as the groups are sorted only once.
 */
public final class WaitingQueue<T> {
  /** A group in the queue and the number of its tasks that are still in the queue. */
  public static final class Entry<T> {
    private final QueuedGroup<T> group;
    private int remaining;

    Entry(QueuedGroup<T> group) {
      this.group = group;
      this.remaining = group.count();
    }

    /** Returns the group as it was queued. */
    public QueuedGroup<T> group() {
      return group;
    }

    /** Removes one task of the group from the queue. */
    public void takeOne() {
      remaining--;
    }

    /** Removes all remaining tasks of the group from the queue and returns their number. */
    public int takeAll() {
      int taken = remaining;
      remaining = 0;
      return taken;
    }
  }

  private final List<Entry<T>> entries = new ArrayList<>();
  private final double eligibleShare;
  private final RandomGenerator random;

  /** Index of the first entry that has tasks left. */
  private int firstNonEmpty;

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

  /** Whether any task is left in the queue. */
  public boolean hasNext() {
    while (firstNonEmpty < entries.size() && entries.get(firstNonEmpty).remaining == 0) {
      firstNonEmpty++;
    }
    return firstNonEmpty < entries.size();
  }

  /**
   * Draws the group of the next task. The task stays in the queue until it is removed through the
   * entry.
   *
   * @throws NoSuchElementException if no task is left in the queue
   */
  public Entry<T> next() {
    if (!hasNext()) {
      throw new NoSuchElementException("no task is left in the queue");
    }
    Priority highest = entries.get(firstNonEmpty).group.priority();
    long tasks = 0;
    int end = firstNonEmpty;
    while (end < entries.size() && entries.get(end).group.priority() == highest) {
      tasks += entries.get(end).remaining;
      end++;
    }
    return drawByReverseRank(end, Math.max(1, (long) Math.floor(eligibleShare * tasks)));
  }

  /** Draws among the first {@code eligible} tasks of the entries before {@code end}. */
  private Entry<T> drawByReverseRank(int end, long eligible) {
    double totalWeight = eligible * (eligible + 1) / 2.0;
    double drawn = random.nextDouble() * totalWeight;
    long rank = 0;
    for (int i = firstNonEmpty; i < end; i++) {
      Entry<T> entry = entries.get(i);
      long endRank = Math.min(eligible, rank + entry.remaining);
      long drawable = endRank - rank;
      // The tasks of ranks rank to endRank-1 have weights from eligible-rank down to
      // eligible-endRank+1.
      double weight = drawable * ((eligible - rank) + (eligible - endRank + 1)) / 2.0;
      if (entry.remaining > 0 && (drawn < weight || endRank == eligible)) {
        return entry;
      }
      drawn -= weight;
      rank = endRank;
    }
    throw new IllegalStateException("fewer tasks are left in the queue than are eligible");
  }
}
