package org.fieldtrestle.worker;

/**
 * Events and requests from the components of a shard to the actor that runs them. All methods are
 * called on the actor's thread.
 */
public interface ShardEvents {
  /** Requests a placement pass after a change that may allow waiting tasks to start. */
  void requestPlacementPass();

  /** Called when a task range was added to this shard. */
  void rangeAdded(TaskRange range);

  /**
   * Called when a worker has reported for the first time. The worker may be given tasks once its
   * machine is durably recorded as up.
   */
  void workerUp(String worker);

  /**
   * Requests that pending commands are sent now instead of with the answers to the next heartbeats.
   */
  void sendCommands();
}
