package org.fieldtrestle.api;

import org.fieldtrestle.context.ControllerContext;

/**
 * Determines whether the key-value store answers this controller, and whether it answers other
 * controllers.
 */
final class StoreAvailability {
  /**
   * The key-value store counts as unresponsive if it gives no answer for the controllers' lease
   * time divided by this number.
   */
  private static final int UNRESPONSIVE_LEASE_DIVISOR = 12;

  private final ControllerContext context;
  private final UserApi.Peers peers;

  StoreAvailability(ControllerContext context, UserApi.Peers peers) {
    this.context = context;
    this.peers = peers;
  }

  /**
   * Returns whether another request to the key-value store would most likely only delay the
   * response to the user: the state cache has not been read yet, or the store has been silent for
   * some time.
   */
  boolean isUnresponsive() {
    return !context.stateCache().isReady() || isUnansweredForLong();
  }

  /**
   * Returns whether only this controller is cut off from the key-value store, so that users are
   * better served by another controller.
   *
   * <p>While the store answers no controller, users should stay with this one, because load
   * balancers take time to return to a controller. If no other controller is alive as far as this
   * one knows, the two cases cannot be told apart; this controller then counts as cut off once its
   * own lease must have expired.
   */
  boolean isCutOff() {
    return isUnansweredForLong()
        && (peers.isStoreAvailableToAny()
            || (!peers.isAnyAlive()
                && context.store().unavailableForMs() > context.settings().controllerLeaseMs()));
  }

  /** Returns the outcome for a request that cannot be served at present. */
  RequestOutcome.Unavailable unavailable() {
    return new RequestOutcome.Unavailable(isCutOff());
  }

  private boolean isUnansweredForLong() {
    return context.store().unavailableForMs()
        > context.settings().controllerLeaseMs() / UNRESPONSIVE_LEASE_DIVISOR;
  }
}
