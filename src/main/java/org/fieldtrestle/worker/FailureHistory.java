package org.fieldtrestle.worker;

import java.util.HashSet;
import java.util.Set;
import org.fieldtrestle.protocol.TaskId;

/** The evidence that a worker is faulty: failures since its last success, and slow tasks. */
final class FailureHistory {
  private int failureCount;
  private final Set<String> failedJobs = new HashSet<>();
  private final Set<TaskId> slowTasks = new HashSet<>();

  /** Called when a task has finished on the worker. */
  void clearFailures() {
    failureCount = 0;
    failedJobs.clear();
  }

  /** Called when a task of the job has failed on the worker. */
  void addFailure(String job) {
    failureCount++;
    failedJobs.add(job);
  }

  /**
   * Forgets the failures of a job that fails on every worker, as they say nothing about this
   * worker.
   *
   * @return whether a task of the job had failed on this worker
   */
  boolean forgetJob(String job) {
    if (!failedJobs.remove(job)) {
      return false;
    }
    failureCount = failedJobs.size();
    return true;
  }

  int failureCount() {
    return failureCount;
  }

  /**
   * Counts a task that takes much longer than the other tasks of its job; returns {@code false} if
   * it was counted before.
   */
  boolean addSlowTask(TaskId task) {
    return slowTasks.add(task);
  }

  int slowTaskCount() {
    return slowTasks.size();
  }
}
