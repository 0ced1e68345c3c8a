package org.fieldtrestle.transport;

import io.netty.channel.Channel;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Time limits of the HTTP server's connections, so that a client that never sends or never finishes
 * a request holds no socket for long. Used on one event loop only.
 */
final class InboundConnections {
  private static final long NANOS_PER_MS = 1_000_000;

  private final SocketBudget sockets;
  private final long idleMs;
  private final long requestMs;

  /** Connections with an unfinished request, or a response that ends them, and since when. */
  private final Map<Channel, Long> unfinishedSinceMs = new LinkedHashMap<>();

  /** Connections that may send another request, and since when, the longest first. */
  private final Map<Channel, Long> idleSinceMs = new LinkedHashMap<>();

  /**
   * @param idleMs a connection without a request is closed after this time
   * @param requestMs a new connection, or a request that has begun, has to be complete within this
   */
  InboundConnections(SocketBudget sockets, long idleMs, long requestMs) {
    this.sockets = sockets;
    this.idleMs = idleMs;
    this.requestMs = requestMs;
  }

  /** Begins to count a new connection, from which a request is expected. */
  @SuppressWarnings("FutureReturnValueIgnored") // the future is the one listened to
  void opened(Channel channel) {
    sockets.register(channel);
    unfinishedSinceMs.put(channel, nowMs());
    channel
        .closeFuture()
        .addListener(
            closed -> {
              unfinishedSinceMs.remove(channel);
              idleSinceMs.remove(channel);
            });
  }

  /** Bytes have arrived: on an idle connection they begin the next request. */
  void bytesReceived(Channel channel) {
    if (idleSinceMs.remove(channel) != null) {
      sockets.markBusy(channel);
      unfinishedSinceMs.put(channel, nowMs());
    }
  }

  /** A request is complete; its response has no time limit. */
  void requestReceived(Channel channel) {
    unfinishedSinceMs.remove(channel);
  }

  /** A response is being sent, after which the next request may come. */
  void responseKeepsConnection(Channel channel) {
    idleSinceMs.put(channel, nowMs());
    sockets.markIdleInbound(channel);
  }

  /** A response is being sent, after which the connection is closed. */
  void responseEndsConnection(Channel channel) {
    unfinishedSinceMs.put(channel, nowMs());
  }

  /** Closes all connections that have exceeded a limit. */
  void closeOverdue() {
    closeOlder(unfinishedSinceMs, nowMs() - requestMs);
    closeOlder(idleSinceMs, nowMs() - idleMs);
  }

  @SuppressWarnings("FutureReturnValueIgnored") // opened() listens to the channel's end
  private static void closeOlder(Map<Channel, Long> sinceMs, long thanMs) {
    while (!sinceMs.isEmpty()) {
      Map.Entry<Channel, Long> oldest = sinceMs.entrySet().iterator().next();
      if (oldest.getValue() > thanMs) {
        return;
      }
      Channel channel = oldest.getKey();
      sinceMs.remove(channel);
      channel.close();
    }
  }

  private static long nowMs() {
    return System.nanoTime() / NANOS_PER_MS;
  }
}
