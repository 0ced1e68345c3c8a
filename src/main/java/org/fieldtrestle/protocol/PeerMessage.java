package org.fieldtrestle.protocol;

import java.util.List;

/** A message from one controller to another; {@code sender} is the label of its sender. */
public sealed interface PeerMessage {

  /**
   * How busy one shard is.
   *
   * @param shard the shard, which the sender leads
   * @param epoch the epoch in which it does
   * @param waitingCpus CPUs of the tasks that wait for room
   * @param capacityCpus CPUs of all its machines, also of those that boot
   * @param freeCapacity what is free now
   */
  record ShardLoad(
      String sender,
      String shard,
      long epoch,
      double waitingCpus,
      double capacityCpus,
      List<FreeCapacity> freeCapacity)
      implements PeerMessage {}

  /** The sender runs; {@code storeAvailable} tells whether the key-value store answers it. */
  record Liveness(String sender, boolean storeAvailable) implements PeerMessage {}

  /**
   * How many machines have lately sent heartbeats to the sender and were redirected to another
   * controller: if that one hears nothing of them, it is cut off from its workers.
   *
   * @param to the label of the other controller
   */
  record RedirectCount(String sender, String to, int machines) implements PeerMessage {}

  /** A job has been cancelled; sent once that is durable. */
  record JobCancelled(String sender, String job) implements PeerMessage {}
}
