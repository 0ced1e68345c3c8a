package org.fieldtrestle.worker;

import java.util.HashMap;
import java.util.Map;
import org.fieldtrestle.protocol.TaskId;

/**
 * Tasks that a worker has reported although they are placed on another worker. A former leader of
 * the shard that does not know that its term has ended may have started them there. They must not
 * be started anywhere else until they are gone from that worker.
 */
final class DuplicateAttempts {
  private final Map<TaskId, Worker> workersByTask = new HashMap<>();

  void add(TaskId task, Worker holder) {
    workersByTask.put(task, holder);
  }

  /** Forgets everything that the worker has reported before. */
  void forgetWorker(Worker worker) {
    workersByTask.values().removeIf(holder -> holder == worker);
  }

  boolean contains(TaskRange range, int offset) {
    return !workersByTask.isEmpty()
        && workersByTask.containsKey(new TaskId(range.key().job(), range.record().from() + offset));
  }
}
