package org.fieldtrestle.worker;

import org.fieldtrestle.protocol.Heartbeat;

/**
 * The state that the messages of a worker report about the worker itself: its incarnation and
 * lease, the fencing token that it has seen, and whether it receives answers. Times are in
 * milliseconds.
 */
final class WorkerConnection {
  private static final long NEVER = -1;

  /**
   * Number of heartbeats in a row without the tasks that their answers started, after which the
   * worker counts as unresponsive.
   */
  private static final int UNRESPONSIVE_AFTER_ANSWERS = 2;

  private final HeartbeatOrder order = new HeartbeatOrder();
  private final FencingState fencing;

  /** The address that the worker has reported last. */
  private String address = "";

  private long lastHeartbeatAtMs = NEVER;

  /** When the lease was last renewed, or may have been renewed by the former leader. */
  private long leaseRenewedAtMs;

  private boolean leaseExpired;
  private boolean reconciled;
  private int unacknowledgedAnswers;
  private long unresponsiveSinceMs = NEVER;

  /**
   * Creates the state of a worker that has not reported yet.
   *
   * @param firstToken the first fencing token that is sent to the worker
   */
  WorkerConnection(long firstToken, long nowMs) {
    this.fencing = new FencingState(firstToken);
    this.leaseRenewedAtMs = nowMs;
  }

  /** Called when a message was received that is newer than all previous ones. */
  void acceptMessage(Heartbeat message, long nowMs) {
    lastHeartbeatAtMs = nowMs;
    leaseExpired = false;
    address = message.address();
    order.acceptMessage(message.sequence());
    fencing.markSeen(message.fencingToken());
  }

  /**
   * Records that the tasks on the worker are known: the worker has reported this term's fencing
   * token, or it cannot have received commands before this term.
   */
  void markReconciled() {
    reconciled = true;
  }

  /** Records that the lease runs from this time or a later one. */
  void renewLease(long timeMs) {
    leaseRenewedAtMs = Math.max(leaseRenewedAtMs, timeMs);
  }

  /** Records that the lease has expired: no task is on the worker until it reports again. */
  void expireLease() {
    leaseExpired = true;
  }

  /**
   * Counts an answer after which the worker did not report the tasks that the answer had started.
   * After two such answers in a row, the worker counts as unresponsive and is sent a higher fencing
   * token.
   *
   * @return whether the worker counts as unresponsive from now on
   */
  boolean countUnacknowledgedAnswer(long nowMs) {
    if (++unacknowledgedAnswers < UNRESPONSIVE_AFTER_ANSWERS) {
      return false;
    }
    unresponsiveSinceMs = nowMs;
    fencing.raise();
    return true;
  }

  /** Called when the worker has shown that it receives answers. */
  void markResponsive() {
    unresponsiveSinceMs = NEVER;
    unacknowledgedAnswers = 0;
  }

  HeartbeatOrder order() {
    return order;
  }

  FencingState fencing() {
    return fencing;
  }

  String address() {
    return address;
  }

  boolean hasReported() {
    return lastHeartbeatAtMs != NEVER;
  }

  /** Returns when the worker last reported; negative if it has not reported. */
  long lastHeartbeatAtMs() {
    return lastHeartbeatAtMs;
  }

  long leaseRenewedAtMs() {
    return leaseRenewedAtMs;
  }

  boolean isLeaseExpired() {
    return leaseExpired;
  }

  boolean isReconciled() {
    return reconciled;
  }

  boolean isUnresponsive() {
    return unresponsiveSinceMs != NEVER;
  }

  long unresponsiveSinceMs() {
    return unresponsiveSinceMs;
  }
}
