package org.fieldtrestle.worker;

/** What the parts of a shard ask of the actor that runs them, on its thread. */
public interface ShardEvents {
  /** Something has changed that may let waiting tasks start. */
  void requestPlacementPass();

  /** A task range has come to this shard. */
  void rangeAdded(TaskRange range);

  /** A worker has reported for the first time and may be given tasks once that is durable. */
  void workerUp(String worker);

  /** Commands wait that would otherwise be sent with the answers to the next heartbeats only. */
  void sendCommands();
}
