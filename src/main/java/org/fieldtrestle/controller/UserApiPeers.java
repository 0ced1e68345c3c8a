package org.fieldtrestle.controller;

import org.fieldtrestle.api.UserApi;

/** Gives the user API access to the liveness of other controllers and to broadcasts. */
final class UserApiPeers implements UserApi.Peers {
  private final PeerLiveness liveness;
  private final PeerBroadcaster broadcaster;

  UserApiPeers(PeerLiveness liveness, PeerBroadcaster broadcaster) {
    this.liveness = liveness;
    this.broadcaster = broadcaster;
  }

  @Override
  public boolean isStoreAvailableToAny() {
    return liveness.isStoreAvailableToAny();
  }

  @Override
  public boolean isAnyAlive() {
    return liveness.isAnyAlive();
  }

  @Override
  public void broadcastCancellation(String job) {
    broadcaster.broadcastCancellation(job);
  }
}
