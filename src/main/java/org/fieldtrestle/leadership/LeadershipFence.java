package org.fieldtrestle.leadership;

import org.fieldtrestle.config.Settings;
import org.fieldtrestle.state.StateCache;
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
public final class LeadershipFence {
  private static final Logger LOG = LoggerFactory.getLogger(LeadershipFence.class);

  /** What a turn of the event loop may take between the decision and the sending, in ms. */
  private static final long TURN_MS = 50;

  private static final long NEVER = Long.MIN_VALUE;

  private final Reactor reactor;
  private final StateCache stateCache;
  private final long usableMs;
  private long leaseSentAt = NEVER;
  private boolean wasOpen;
  private long openings;

  /**
   * @param leaseMs the time to live of the lease at the state service
   */
  LeadershipFence(Reactor reactor, StateCache stateCache, long leaseMs) {
    this.reactor = reactor;
    this.stateCache = stateCache;
    this.usableMs = Math.round(leaseMs * (1 - Settings.CLOCK_DRIFT)) - TURN_MS;
  }

  /** The lease less what clocks may drift apart and a turn of the event loop may take, in ms. */
  public long usableMs() {
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
    boolean open = leaseSentAt > since && stateCache.freshAsOf() > since;
    if (open != wasOpen) {
      wasOpen = open;
      openings += open ? 1 : 0;
      logChange(open);
    }
    return open;
  }

  /** How often it has opened since the start. */
  public long openings() {
    return openings;
  }

  /** Milliseconds since the sending of what last renewed the lease; -1 where there is none. */
  public long leaseAgeMs() {
    return age(leaseSentAt);
  }

  /** Milliseconds since the sending of the read that the followed state rests on; -1: none yet. */
  public long stateAgeMs() {
    return age(stateCache.freshAsOf());
  }

  private long age(long sentAt) {
    return sentAt == NEVER ? -1 : reactor.now() - sentAt;
  }

  private void logChange(boolean open) {
    LOG.atInfo()
        .addKeyValue("leaseAgeMs", leaseAgeMs())
        .addKeyValue("stateAgeMs", stateAgeMs())
        .addKeyValue("revision", stateCache.appliedRevision())
        .addKeyValue("usableMs", usableMs)
        .log(open ? "fence opens" : "fence closes");
  }
}
