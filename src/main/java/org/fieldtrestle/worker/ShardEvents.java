package org.fieldtrestle.worker;

/** What the parts of a shard ask of the actor that runs them. */
public interface ShardEvents {
  /** Something has changed that may let waiting tasks start. */
  void requestPlacementPass();

  /** A range of tasks has come to this shard. */
  void rangeAdded(TaskRange range);

  /** A machine has reported for the first time and may be given tasks once that is durable. */
  void machineUp(String machine);

  /** Stops a task, with so many seconds to save its work. */
  void stop(TaskAttempt task, double graceS);

  /** Sends commands that would otherwise wait for the next heartbeats. */
  void sendCommands();

  /** Why a task that has to be stopped is still there, for the log. */
  String stopPendingReason(TaskAttempt task);

  /** Whether there are workers that may hold tasks which an earlier epoch has started. */
  boolean hasUnreconciledWorkers();
}
