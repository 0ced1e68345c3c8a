package org.fieldtrestle.controller;

import org.fieldtrestle.api.UserApi;

/** Connects the user API with the liveness of other controllers and the broadcast to them. */
final class UserApiPeers implements UserApi.Peers {
  private final PeerLiveness liveness;
  private final PeerBroadcaster broadcaster;

  UserApiPeers(PeerLiveness liveness, PeerBroadcaster broadcaster) {
    this.liveness = liveness;
    this.broadcaster = broadcaster;
  }

  @Override
  public boolean anyServed() {
    return liveness.anyServed();
  }

  @Override
  public boolean anyHeard() {
    return liveness.anyAlive();
  }

  @Override
  public void cancelled(String job) {
    broadcaster.broadcastCancellation(job);
  }
}
