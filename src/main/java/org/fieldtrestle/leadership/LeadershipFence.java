package org.fieldtrestle.leadership;

import org.fieldtrestle.config.Settings;
import org.fieldtrestle.state.StateCache;
import org.fieldtrestle.transport.Reactor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Bounds how long this controller may act without an answer from the key-value store.
 *
 * <p>The fence is open while both the controller's lease and the state cache are recent enough. The
 * age of each is counted from the time at which the request that confirmed it was <em>sent</em>.
 * The age of the state cache counts as much as that of the lease, because a controller whose watch
 * no longer delivers cancellations must not keep tasks alive. The bound is chosen so that the
 * effect of the last answer to a worker ends within the time that a cancellation may take, see
 * {@link Settings#controllerLeaseMs}.
 */
public final class LeadershipFence {
  private static final Logger LOG = LoggerFactory.getLogger(LeadershipFence.class);

  /**
   * The longest time on the event loop between a decision and the sending of its message, in ms.
   */
  private static final long EVENT_LOOP_TURN_MS = 50;

  private static final long NEVER = Long.MIN_VALUE;

  private final Reactor reactor;
  private final StateCache stateCache;
  private final long usableMs;

  /** When the request that last granted or renewed the lease was sent. */
  private long leaseSentAtMs = NEVER;

  private boolean wasOpen;
  private long openings;

  /**
   * @param leaseMs the time to live of the lease at the key-value store, in milliseconds
   */
  LeadershipFence(Reactor reactor, StateCache stateCache, long leaseMs) {
    this.reactor = reactor;
    this.stateCache = stateCache;
    this.usableMs = Math.round(leaseMs * (1 - Settings.CLOCK_DRIFT)) - EVENT_LOOP_TURN_MS;
  }

  /**
   * Returns for how long the controller may act on one confirmation: the lease minus the possible
   * clock drift and one turn of the event loop, in milliseconds.
   */
  public long usableMs() {
    return usableMs;
  }

  /** Called when a request that was sent at the given time has granted or renewed the lease. */
  void leaseRenewed(long sentAtMs) {
    leaseSentAtMs = Math.max(leaseSentAtMs, sentAtMs);
  }

  /** Called when the key-value store has answered that the lease has expired. */
  void leaseExpired() {
    leaseSentAtMs = NEVER;
  }

  /** Returns whether a lease was granted that is not known to have expired. */
  boolean hasLease() {
    return leaseSentAtMs != NEVER;
  }

  /** Returns whether commands may be sent and heartbeats acknowledged now; logs each change. */
  boolean isOpen() {
    long oldestMs = reactor.nowMs() - usableMs;
    boolean open = leaseSentAtMs > oldestMs && stateCache.freshAsOfMs() > oldestMs;
    if (open != wasOpen) {
      wasOpen = open;
      openings += open ? 1 : 0;
      logChange(open);
    }
    return open;
  }

  /** Returns how often the fence has opened since this process started. */
  public long openings() {
    return openings;
  }

  /**
   * Returns the milliseconds since the last successful grant or renewal of the lease was requested;
   * -1 without a lease.
   */
  public long leaseAgeMs() {
    return ageMs(leaseSentAtMs);
  }

  /**
   * Returns the age of the state cache: the milliseconds since its last answered read was sent; -1
   * before the first.
   */
  public long stateAgeMs() {
    return ageMs(stateCache.freshAsOfMs());
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
