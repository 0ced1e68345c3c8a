package org.fieldtrestle.coordination;

import org.fieldtrestle.bookkeeping.View;
import org.fieldtrestle.protocol.Settings;
import org.fieldtrestle.transport.Reactor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Bounds for how long this controller may act without word from the state service.
 *
 * <p>It is open while both the lease at the state service and the followed state are young enough,
 * each counted from the <em>sending</em> of the request that proved it. A watch that no longer
 * hears of cancellations must not keep tasks alive, so the age of the followed state counts as much
 * as the lease. The bound is chosen so that whatever was last told to a worker is over within the
 * time that a cancellation has, see {@link Settings#stateLeaseMs}.
 */
final class Fence {
  private static final Logger LOG = LoggerFactory.getLogger(Fence.class);

  /** What a turn of the event loop may take between the decision and the sending, in ms. */
  private static final long TURN_MS = 50;

  private static final long NEVER = Long.MIN_VALUE;

  private final Reactor reactor;
  private final View view;
  private final long usableMs;
  private long leaseSentAt = NEVER;
  private boolean wasOpen;
  private long openings;

  /**
   * @param leaseMs the time to live of the lease at the state service
   */
  Fence(Reactor reactor, View view, long leaseMs) {
    this.reactor = reactor;
    this.view = view;
    this.usableMs = Math.round(leaseMs * (1 - Settings.DRIFT)) - TURN_MS;
  }

  /** The lease less what clocks may drift apart and a turn of the event loop may take, in ms. */
  long usableMs() {
    return usableMs;
  }

  /** The lease was granted or renewed by a request that was sent at this time. */
  void leaseKept(long sentAt) {
    leaseSentAt = Math.max(leaseSentAt, sentAt);
  }

  /** The state service says that the lease is over. */
  void leaseEnded() {
    leaseSentAt = NEVER;
  }

  /** Whether commands may be given and reports acknowledged now. */
  boolean open() {
    long since = reactor.now() - usableMs;
    boolean open = leaseSentAt > since && view.freshAt() > since;
    if (open != wasOpen) {
      wasOpen = open;
      openings += open ? 1 : 0;
      logChange(open);
    }
    return open;
  }

  /** How often it has opened since the start. */
  long openings() {
    return openings;
  }

  /** Milliseconds since the sending of what last renewed the lease; -1 where there is none. */
  long leaseAgeMs() {
    return age(leaseSentAt);
  }

  /** Milliseconds since the sending of the read that the followed state rests on; -1: none yet. */
  long stateAgeMs() {
    return age(view.freshAt());
  }

  private long age(long sentAt) {
    return sentAt == NEVER ? -1 : reactor.now() - sentAt;
  }

  private void logChange(boolean open) {
    LOG.atInfo()
        .addKeyValue("leaseAgeMs", leaseAgeMs())
        .addKeyValue("stateAgeMs", stateAgeMs())
        .addKeyValue("revision", view.followed())
        .addKeyValue("usableMs", usableMs)
        .log(open ? "fence opens" : "fence closes");
  }
}
