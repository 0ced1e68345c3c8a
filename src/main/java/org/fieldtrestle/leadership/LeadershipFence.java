package org.fieldtrestle.leadership;

import org.fieldtrestle.config.Settings;
import org.fieldtrestle.state.StateCache;
import org.fieldtrestle.transport.Reactor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Bounds how long this controller may act without an answer of the key-value store.
 *
 * <p>The fence is open while both the controller's lease and the state cache are young enough, each
 * counted from the <em>sending</em> of the request that proved it. A watch that no longer delivers
 * cancellations must not keep tasks alive, so the age of the state cache counts as much as the
 * lease. The bound is chosen so that the effect of the last answer to a worker ends within the time
 * that a cancellation may take, see {@link Settings#stateLeaseMs}.
 */
public final class LeadershipFence {
  private static final Logger LOG = LoggerFactory.getLogger(LeadershipFence.class);

  /** The longest time on the event loop between a decision and the sending of its message. */
  private static final long EVENT_LOOP_TURN_MS = 50;

  private static final long NEVER = Long.MIN_VALUE;

  private final Reactor reactor;
  private final StateCache stateCache;
  private final long usableMs;

  /** When the request was sent that granted or renewed the lease last. */
  private long leaseSentAtMs = NEVER;

  private boolean wasOpen;
  private long openings;

  /**
   * @param leaseMs the time to live of the lease at the key-value store
   */
  LeadershipFence(Reactor reactor, StateCache stateCache, long leaseMs) {
    this.reactor = reactor;
    this.stateCache = stateCache;
    this.usableMs = Math.round(leaseMs * (1 - Settings.CLOCK_DRIFT)) - EVENT_LOOP_TURN_MS;
  }

  /** The lease less the clocks' possible drift and a turn of the event loop, in ms. */
  public long usableMs() {
    return usableMs;
  }

  /** The lease was granted or renewed by a request that was sent at this time. */
  void leaseRenewed(long sentAtMs) {
    leaseSentAtMs = Math.max(leaseSentAtMs, sentAtMs);
  }

  /** The key-value store has answered that the lease has expired. */
  void leaseExpired() {
    leaseSentAtMs = NEVER;
  }

  /** Whether commands may be sent and heartbeats acknowledged now; logs each change. */
  boolean isOpen() {
    long oldestMs = reactor.nowMs() - usableMs;
    boolean open = leaseSentAtMs > oldestMs && stateCache.freshAsOf() > oldestMs;
    if (open != wasOpen) {
      wasOpen = open;
      openings += open ? 1 : 0;
      logChange(open);
    }
    return open;
  }

  /** How often the fence has opened since the start. */
  public long openings() {
    return openings;
  }

  /** Milliseconds since the last successful renewal was sent; -1 without a lease. */
  public long leaseAgeMs() {
    return ageMs(leaseSentAtMs);
  }

  /** Milliseconds since the last answered read of the state cache was sent; -1 before the first. */
  public long stateAgeMs() {
    return ageMs(stateCache.freshAsOf());
  }

  private long ageMs(long sentAtMs) {
    return sentAtMs == NEVER ? -1 : reactor.nowMs() - sentAtMs;
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
