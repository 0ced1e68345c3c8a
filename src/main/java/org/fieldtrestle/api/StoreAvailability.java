package org.fieldtrestle.api;

import org.fieldtrestle.context.ControllerContext;

/** Judges whether the key-value store answers this controller, and whether it answers others. */
final class StoreAvailability {
  /** Part of the state lease after which a store without an answer counts as unresponsive. */
  private static final int UNRESPONSIVE_LEASE_DIVISOR = 12;

  private final ControllerContext context;
  private final UserApi.Peers peers;

  StoreAvailability(ControllerContext context, UserApi.Peers peers) {
    this.context = context;
    this.peers = peers;
  }

  /** Returns whether another request to the store would most likely only delay the response. */
  boolean isUnresponsive() {
    return !context.stateCache().isReady() || unansweredForLong();
  }

  /**
   * Returns whether this controller alone is cut off from the store, so that users are better
   * served by another controller.
   *
   * <p>While the store answers nobody, users stay here, as load balancers take time to return to a
   * controller. Without any word from other controllers the two cases look the same; this
   * controller then counts as cut off once its own lease must have expired.
   */
  boolean isCutOff() {
    return unansweredForLong()
        && (peers.anyServed()
            || (!peers.anyHeard()
                && context.store().unavailableForMs() > context.settings().controllerLeaseMs()));
  }

  /** Returns the outcome of a request that cannot be served at present. */
  RequestOutcome.Unavailable unavailable() {
    return new RequestOutcome.Unavailable(isCutOff());
  }

  private boolean unansweredForLong() {
    return context.store().unavailableForMs()
        > context.settings().controllerLeaseMs() / UNRESPONSIVE_LEASE_DIVISOR;
  }
}
