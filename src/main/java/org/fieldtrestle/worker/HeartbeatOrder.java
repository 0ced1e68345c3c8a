package org.fieldtrestle.worker;

import org.fieldtrestle.protocol.Heartbeat;
import org.fieldtrestle.protocol.WorkerProtocol;

/** The incarnation of a worker and the order of its messages, which may arrive late or twice. */
final class HeartbeatOrder {
  private static final long NONE = -1;

  private long incarnation = NONE;

  /** The sequence of the incarnation's last message, including answers to direct commands. */
  private long sequence = NONE;

  /** The sequence of the incarnation's last heartbeat, excluding answers to direct commands. */
  private long heartbeatSequence = NONE;

  long incarnation() {
    return incarnation;
  }

  long sequence() {
    return sequence;
  }

  /** Returns the sequence of the incarnation's newest heartbeat; negative if there was none. */
  long heartbeatSequence() {
    return heartbeatSequence;
  }

  /** Whether any incarnation of the worker has reported. */
  boolean hasIncarnation() {
    return incarnation != NONE;
  }

  boolean isNewer(Heartbeat message) {
    return message.isNewerThan(incarnation, sequence);
  }

  boolean isOfIncarnation(Heartbeat message) {
    return message.incarnation() == incarnation;
  }

  /**
   * Whether a heartbeat is of an earlier incarnation, a copy of an earlier heartbeat, or so late
   * that the worker no longer waits for an answer.
   *
   * @param sinceLastMs time since the worker's last message, in milliseconds
   */
  boolean isOutdated(Heartbeat heartbeat, long sinceLastMs) {
    if (!isOfIncarnation(heartbeat)) {
      return heartbeat.incarnation() < incarnation;
    }
    return heartbeat.sequence() <= heartbeatSequence
        || (heartbeat.sequence() < sequence && sinceLastMs > WorkerProtocol.HEARTBEAT_TIMEOUT_MS);
  }

  void acceptMessage(long messageSequence) {
    sequence = messageSequence;
  }

  void acceptHeartbeat(long messageSequence) {
    heartbeatSequence = Math.max(heartbeatSequence, messageSequence);
  }

  void beginIncarnation(long next) {
    incarnation = next;
    heartbeatSequence = NONE;
  }
}
