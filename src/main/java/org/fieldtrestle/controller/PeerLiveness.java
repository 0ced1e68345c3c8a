package org.fieldtrestle.controller;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.fieldtrestle.protocol.PeerMessage;
import org.fieldtrestle.transport.Reactor;

/**
 * Records when the last liveness message of each other controller was received, and whether the
 * key-value store answered that controller.
 */
final class PeerLiveness {
  private record LastMessage(long receivedAtMs, boolean storeAvailable) {}

  private final Reactor reactor;
  private final long expiryMs;
  private final Map<String, LastMessage> lastMessages = new HashMap<>();

  /**
   * @param expiryMs time without a liveness message after which a controller no longer counts as
   *     alive
   */
  PeerLiveness(Reactor reactor, long expiryMs) {
    this.reactor = reactor;
    this.expiryMs = expiryMs;
  }

  void messageReceived(PeerMessage.Liveness message) {
    lastMessages.put(message.sender(), new LastMessage(reactor.nowMs(), message.storeAvailable()));
  }

  /** Returns the labels of all controllers from which a liveness message was ever received. */
  Set<String> peers() {
    return lastMessages.keySet();
  }

  boolean isAlive(String peer) {
    return silentMs(peer) <= expiryMs;
  }

  /**
   * Returns the time since the last liveness message of a controller, in milliseconds. The
   * controller has to be one of {@link #peers}.
   */
  long silentMs(String peer) {
    return reactor.nowMs() - lastMessages.get(peer).receivedAtMs();
  }

  boolean isAnyAlive() {
    for (String peer : lastMessages.keySet()) {
      if (isAlive(peer)) {
        return true;
      }
    }
    return false;
  }

  /** Whether the key-value store answers at least one other controller that is alive. */
  boolean isStoreAvailableToAny() {
    for (Map.Entry<String, LastMessage> entry : lastMessages.entrySet()) {
      if (entry.getValue().storeAvailable() && isAlive(entry.getKey())) {
        return true;
      }
    }
    return false;
  }
}
