package org.fieldtrestle.worker;

import java.util.HashSet;
import java.util.Set;
import org.fieldtrestle.protocol.TaskId;

/** What speaks against one worker: failures since its last success, and tasks that were slow. */
final class FailureHistory {
  private int failures;
  private final Set<String> failedJobs = new HashSet<>();
  private final Set<TaskId> slowTasks = new HashSet<>();

  /** A task has finished on the worker. */
  void clearFailures() {
    failures = 0;
    failedJobs.clear();
  }

  /** A task of the job has failed on the worker. */
  void addFailure(String job) {
    failures++;
    failedJobs.add(job);
  }

  /**
   * The job fails on every worker: its failures say nothing of this one.
   *
   * @return whether a task of the job had failed here
   */
  boolean dismissJob(String job) {
    if (!failedJobs.remove(job)) {
      return false;
    }
    failures = failedJobs.size();
    return true;
  }

  int failures() {
    return failures;
  }

  /** Counts a task that takes much longer than its job's others; false if it was counted before. */
  boolean addSlowTask(TaskId task) {
    return slowTasks.add(task);
  }

  int slowTasks() {
    return slowTasks.size();
  }
}
