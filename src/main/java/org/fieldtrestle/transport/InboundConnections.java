package org.fieldtrestle.transport;

import io.netty.channel.Channel;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Enforces the time limits of the HTTP server's connections, so that a client that never sends or
 * never completes a request does not occupy a socket for long. Not thread-safe: all calls must be
 * made on one event loop.
 */
final class InboundConnections {
  private static final long NANOS_PER_MS = 1_000_000;

  private final SocketBudget sockets;
  private final long idleTimeoutMs;
  private final long requestTimeoutMs;

  /**
   * The connections whose request is incomplete or whose last response is being sent, with the time
   * at which that began.
   */
  private final Map<Channel, Long> unfinishedSinceMs = new LinkedHashMap<>();

  /**
   * The connections that wait for another request, with the time at which each became idle. The one
   * that has been idle longest is first.
   */
  private final Map<Channel, Long> idleSinceMs = new LinkedHashMap<>();

  /**
   * Creates an empty set of connections.
   *
   * @param idleTimeoutMs the time in milliseconds after which a connection without a request is
   *     closed
   * @param requestTimeoutMs the time in milliseconds within which a request must be complete, from
   *     the opening of a new connection or from the first byte of a later request; also the limit
   *     for sending a last response
   */
  InboundConnections(SocketBudget sockets, long idleTimeoutMs, long requestTimeoutMs) {
    this.sockets = sockets;
    this.idleTimeoutMs = idleTimeoutMs;
    this.requestTimeoutMs = requestTimeoutMs;
  }

  /** Called when a client has opened a connection, on which a request is now expected. */
  @SuppressWarnings("FutureReturnValueIgnored") // addListener() returns the close future itself
  void connectionOpened(Channel channel) {
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

  /** Called when bytes have arrived; on an idle connection they begin the next request. */
  void bytesReceived(Channel channel) {
    if (idleSinceMs.remove(channel) != null) {
      sockets.markBusy(channel);
      unfinishedSinceMs.put(channel, nowMs());
    }
  }

  /** Called when a request is complete; the time until its response is not limited. */
  void requestReceived(Channel channel) {
    unfinishedSinceMs.remove(channel);
  }

  /** Called when a response is sent that keeps the connection open for the next request. */
  void respondedWithKeepAlive(Channel channel) {
    idleSinceMs.put(channel, nowMs());
    sockets.markIdleInbound(channel);
  }

  /** Called when a response is sent after which the connection is closed. */
  void respondedWithClose(Channel channel) {
    unfinishedSinceMs.put(channel, nowMs());
  }

  /** Closes all connections that have exceeded a time limit. */
  void closeOverdue() {
    closeOlderThan(unfinishedSinceMs, nowMs() - requestTimeoutMs);
    closeOlderThan(idleSinceMs, nowMs() - idleTimeoutMs);
  }

  @SuppressWarnings("FutureReturnValueIgnored") // connectionOpened() listens for the close
  private static void closeOlderThan(Map<Channel, Long> sinceMs, long cutoffMs) {
    while (!sinceMs.isEmpty()) {
      Map.Entry<Channel, Long> oldest = sinceMs.entrySet().iterator().next();
      if (oldest.getValue() > cutoffMs) {
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
