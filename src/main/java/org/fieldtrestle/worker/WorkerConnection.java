package org.fieldtrestle.worker;

import org.fieldtrestle.protocol.WorkerProtocol;

/**
 * What the messages of one worker say about itself: its incarnation and lease, the fencing token it
 * has seen, and whether it receives answers. Times are in ms.
 */
final class WorkerConnection {
  private static final long NEVER = -1;

  /** Heartbeats in a row without what their answers started, after which it is unresponsive. */
  private static final int UNRESPONSIVE_AFTER = 2;

  private final HeartbeatOrder order = new HeartbeatOrder();
  private final FencingState fencing;

  /** The address that the worker reported last. */
  private String address = "";

  private long lastHeartbeatAtMs = NEVER;

  /** When the lease was renewed last, or may have been by the leader before. */
  private long leaseRenewedAtMs;

  private boolean leaseExpired;
  private boolean reconciled;
  private int unacknowledgedAnswers;
  private long unresponsiveSinceMs = NEVER;

  /**
   * A worker that has not reported yet.
   *
   * @param firstToken the fencing token that it is sent first
   */
  WorkerConnection(long firstToken, long nowMs) {
    this.fencing = new FencingState(firstToken);
    this.leaseRenewedAtMs = nowMs;
  }

  /** A message that is newer than all before was received. */
  void acceptMessage(WorkerProtocol.Heartbeat message, long nowMs) {
    lastHeartbeatAtMs = nowMs;
    leaseExpired = false;
    address = message.address();
    order.acceptMessage(message.seq());
    fencing.markSeen(message.token());
  }

  /** What is on the worker is known: it has reported having seen this term's token. */
  void markReconciled() {
    reconciled = true;
  }

  /** The lease runs at least from this time. */
  void renewLease(long timeMs) {
    leaseRenewedAtMs = Math.max(leaseRenewedAtMs, timeMs);
  }

  /** The lease has expired: nothing is on the worker until it reports again. */
  void expireLease() {
    leaseExpired = true;
  }

  /**
   * Counts an answer after which the tasks that it started were not reported. After two of them in
   * a row the worker counts as unresponsive, and gets a higher token to show.
   *
   * @return whether it counts as unresponsive from now on
   */
  boolean countUnacknowledgedAnswer(long nowMs) {
    if (++unacknowledgedAnswers < UNRESPONSIVE_AFTER) {
      return false;
    }
    unresponsiveSinceMs = nowMs;
    fencing.raise();
    return true;
  }

  /** The worker has shown that it receives answers. */
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

  /** When the worker reported last; below 0 where it has not. */
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
