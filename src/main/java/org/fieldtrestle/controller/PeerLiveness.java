package org.fieldtrestle.controller;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.fieldtrestle.protocol.PeerMessage;
import org.fieldtrestle.transport.Reactor;

/** When each other controller was heard last, and whether the key-value store answers it. */
final class PeerLiveness {
  private record LastMessage(long receivedAtMs, boolean served) {}

  private final Reactor reactor;
  private final long expiryMs;
  private final Map<String, LastMessage> lastMessages = new HashMap<>();

  /**
   * @param expiryMs a controller that was not heard for longer does not count as alive
   */
  PeerLiveness(Reactor reactor, long expiryMs) {
    this.reactor = reactor;
    this.expiryMs = expiryMs;
  }

  void received(PeerMessage.Liveness message) {
    lastMessages.put(message.sender(), new LastMessage(reactor.nowMs(), message.storeAvailable()));
  }

  /** The labels of all controllers that were ever heard. */
  Set<String> peers() {
    return lastMessages.keySet();
  }

  boolean isAlive(String peer) {
    return silentMs(peer) <= expiryMs;
  }

  /** For how long a controller that was heard before has been silent. */
  long silentMs(String peer) {
    return reactor.nowMs() - lastMessages.get(peer).receivedAtMs();
  }

  boolean anyAlive() {
    for (String peer : lastMessages.keySet()) {
      if (isAlive(peer)) {
        return true;
      }
    }
    return false;
  }

  /** Whether the key-value store answers any other controller that is alive. */
  boolean anyServed() {
    for (Map.Entry<String, LastMessage> entry : lastMessages.entrySet()) {
      if (entry.getValue().served() && isAlive(entry.getKey())) {
        return true;
      }
    }
    return false;
  }
}
