package org.fieldtrestle.worker;

import org.fieldtrestle.protocol.WorkerProtocol;

/** The incarnation of one worker and the order of its messages, which may arrive late or twice. */
final class HeartbeatOrder {
  private static final long NONE = -1;

  private long incarnation = NONE;

  /** The last message of the incarnation, an answer to a direct command included. */
  private long sequence = NONE;

  /** The last heartbeat of the incarnation, without the answers to direct commands. */
  private long heartbeatSequence = NONE;

  long incarnation() {
    return incarnation;
  }

  long sequence() {
    return sequence;
  }

  /** Whether any incarnation of the worker was heard of. */
  boolean hasIncarnation() {
    return incarnation != NONE;
  }

  boolean isNewer(WorkerProtocol.Heartbeat message) {
    return message.newerThan(incarnation, sequence);
  }

  boolean isOfIncarnation(WorkerProtocol.Heartbeat message) {
    return message.session() == incarnation;
  }

  /**
   * Whether a heartbeat is a copy of one that came before, or so late that its worker no longer
   * waits for an answer.
   *
   * @param sinceLastMs time since the last message of the worker
   */
  boolean isOutdated(WorkerProtocol.Heartbeat heartbeat, long sinceLastMs) {
    if (!isOfIncarnation(heartbeat)) {
      return heartbeat.session() < incarnation;
    }
    return heartbeat.seq() <= heartbeatSequence
        || (heartbeat.seq() < sequence && sinceLastMs > WorkerProtocol.ANSWER_WITHIN_MS);
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
