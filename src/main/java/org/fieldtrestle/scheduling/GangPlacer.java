package org.fieldtrestle.scheduling;

import java.util.BitSet;
import java.util.Map;
import java.util.TreeMap;
import org.fieldtrestle.worker.FreeResources;
import org.fieldtrestle.worker.TaskRange;

/** Gang scheduling: all tasks of a gang are placed at once, or none. */
final class GangPlacer {
  private final QuotaShares quotaShares;
  private final WorkerSelector selector;
  private final TaskPlacer.Decisions decisions;

  GangPlacer(QuotaShares quotaShares, WorkerSelector selector, TaskPlacer.Decisions decisions) {
    this.quotaShares = quotaShares;
    this.selector = selector;
    this.decisions = decisions;
  }

  /** Places all waiting tasks of a gang if the quota and the workers have room for all of them. */
  void place(PlacementPass pass, TaskRange range) {
    BitSet waiting = (BitSet) range.freshOffsets().clone();
    range.retries().keySet().forEach(waiting::set);
    if (!quotaShares.allows(range.spec(), waiting.cardinality())) {
      return;
    }
    Map<Integer, FreeResources> selected = new TreeMap<>();
    for (int offset = waiting.nextSetBit(0); offset >= 0; offset = waiting.nextSetBit(offset + 1)) {
      FreeResources free = selector.select(pass, new WaitingTasks(range, offset), offset);
      if (free == null) {
        selected.values().forEach(taken -> taken.release(range.spec()));
        return;
      }
      free.take(range.spec());
      selected.put(offset, free);
    }
    // One attempt number for all: the tasks of a gang find each other by it.
    long attempt = decisions.nextAttempt();
    selected.forEach((offset, free) -> decisions.place(range, offset, free.worker(), attempt));
  }
}
