package org.fieldtrestle.worker;

import java.util.HashMap;
import java.util.Map;
import org.fieldtrestle.protocol.TaskId;

/**
 * Tasks that a worker has reported though they are placed on another one. A former leader of the
 * shard that does not know of the end of its term may have started them there. Until they are gone
 * from that worker they must not be started anywhere else.
 */
final class DuplicateAttempts {
  private final Map<TaskId, Worker> holders = new HashMap<>();

  void add(TaskId task, Worker holder) {
    holders.put(task, holder);
  }

  /** Nothing that the worker has reported before counts any more. */
  void forgetWorker(Worker worker) {
    holders.values().removeIf(holder -> holder == worker);
  }

  boolean contains(TaskRange range, int offset) {
    return !holders.isEmpty()
        && holders.containsKey(new TaskId(range.key().job(), range.record().from() + offset));
  }
}
