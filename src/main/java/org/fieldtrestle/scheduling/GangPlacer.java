package org.fieldtrestle.scheduling;

import java.util.BitSet;
import java.util.Map;
import java.util.TreeMap;
import org.fieldtrestle.worker.FreeResources;
import org.fieldtrestle.worker.TaskRange;

/** Places gangs: either all waiting tasks of a gang are placed together or none of them. */
final class GangPlacer {
  private final QuotaShares quotaShares;
  private final WorkerSelector workerSelector;
  private final TaskPlacer.PlacementExecutor executor;

  GangPlacer(
      QuotaShares quotaShares,
      WorkerSelector workerSelector,
      TaskPlacer.PlacementExecutor executor) {
    this.quotaShares = quotaShares;
    this.workerSelector = workerSelector;
    this.executor = executor;
  }

  /**
   * Places all waiting tasks of a gang if the quota share and the workers have room for all of
   * them.
   */
  void place(PlacementPass pass, TaskRange range) {
    BitSet waiting = (BitSet) range.freshOffsets().clone();
    range.retries().keySet().forEach(waiting::set);
    int tasks = waiting.cardinality();
    boolean allowed = quotaShares.allows(range.spec(), tasks);
    if (!allowed && quotaShares.isRefusalKnown(range.spec(), tasks)) {
      return;
    }
    Map<Integer, FreeResources> selected = new TreeMap<>();
    for (int offset = waiting.nextSetBit(0); offset >= 0; offset = waiting.nextSetBit(offset + 1)) {
      FreeResources free = workerSelector.select(pass, new WaitingTasks(range, offset), offset);
      if (free == null) {
        selected.values().forEach(taken -> taken.release(range.spec()));
        return;
      }
      free.take(range.spec());
      selected.put(offset, free);
    }
    if (!allowed) {
      selected.values().forEach(taken -> taken.release(range.spec()));
      quotaShares.recordRefusal(range.spec(), tasks);
      return;
    }
    // The tasks of a gang share one attempt number, by which they find each other.
    long attemptNumber = executor.nextAttemptNumber();
    selected.forEach((offset, free) -> executor.place(range, offset, free.worker(), attemptNumber));
  }
}
