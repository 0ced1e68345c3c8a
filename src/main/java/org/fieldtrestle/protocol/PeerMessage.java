package org.fieldtrestle.protocol;

import java.util.List;

/** A message from one controller to another; {@code sender} is the sending controller's label. */
public sealed interface PeerMessage {

  /**
   * The load and the free capacity of one shard.
   *
   * @param shard name of the shard; the sender is its shard leader
   * @param epoch the epoch of the sender's leadership term
   * @param waitingCpus CPUs that the shard's waiting tasks need
   * @param capacityCpus CPUs of all machines of the shard, including those that are booting
   * @param freeCapacity resources that are free now, by zone
   */
  record ShardLoad(
      String sender,
      String shard,
      long epoch,
      double waitingCpus,
      double capacityCpus,
      List<FreeCapacity> freeCapacity)
      implements PeerMessage {}

  /**
   * Shows that the sender runs; {@code storeAvailable} tells whether the key-value store answers
   * it.
   */
  record Liveness(String sender, boolean storeAvailable) implements PeerMessage {}

  /**
   * The number of machines that have lately sent heartbeats to the sender and were redirected to
   * another controller. If the other controller receives no heartbeats from them, it is cut off
   * from its workers.
   *
   * @param targetController label of the controller to which the machines were redirected
   */
  record RedirectCount(String sender, String targetController, int machineCount)
      implements PeerMessage {}

  /** A job has been cancelled; sent once the cancellation is durable. */
  record JobCancelled(String sender, String job) implements PeerMessage {}
}
