package org.fieldtrestle.transport;

import io.netty.channel.Channel;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Shares out the sockets of this process. A controller that is the only one left has connections
 * from all workers beside its users', so that no fixed part of the limit would do for either: a new
 * connection gets a socket while there are any, then in the place of an idle connection. A few are
 * reserved for essential connections. Used on one event loop only.
 */
public final class SocketBudget {
  /** Share of the limit that is not for connections: files, and sockets that are being closed. */
  private static final double OTHER_DESCRIPTORS_SHARE = 0.04;

  /** Share of the limit that is reserved for essential connections. */
  private static final double RESERVED_SHARE = 0.04;

  /** Share of open sockets beyond which expendable connections end with their response. */
  private static final double CLOSE_EXPENDABLE_SHARE = 0.8;

  /** Share of open sockets beyond which all connections to this process do. */
  private static final double CLOSE_ALL_SHARE = 0.9;

  /** What a connection is for. */
  enum Use {
    /** The key-value store, the cloud and other controllers. */
    ESSENTIAL,
    /** Users and workers. */
    ORDINARY
  }

  private final int maxOpen;
  private final int reserved;

  /** Idle connections of calls, the longest idle first; closed before those of clients. */
  private final Set<Channel> idleOutbound = new LinkedHashSet<>();

  /** Idle connections of clients, the longest idle first. */
  private final Set<Channel> idleInbound = new LinkedHashSet<>();

  private int open;

  /**
   * @param limit how many file descriptors this process may use for connections and all else
   */
  public SocketBudget(int limit) {
    this.reserved = (int) Math.ceil(limit * RESERVED_SHARE);
    this.maxOpen = Math.max(1, limit - (int) Math.ceil(limit * OTHER_DESCRIPTORS_SHARE));
  }

  /** Whether a socket is free; idle connections are closed to make room for it. */
  boolean makeRoom(Use use) {
    int bound = use == Use.ESSENTIAL ? maxOpen : Math.max(1, maxOpen - reserved);
    while (open >= bound) {
      if (!closeLongestIdle(idleOutbound) && !closeLongestIdle(idleInbound)) {
        return false;
      }
    }
    return true;
  }

  /** Closes the connection of a call that is idle the longest; false if there is none. */
  boolean closeIdleOutbound() {
    return closeLongestIdle(idleOutbound);
  }

  @SuppressWarnings("FutureReturnValueIgnored") // register() listens to the channel's end
  private static boolean closeLongestIdle(Set<Channel> idle) {
    Iterator<Channel> channels = idle.iterator();
    if (!channels.hasNext()) {
      return false;
    }
    Channel longestIdle = channels.next();
    channels.remove();
    longestIdle.close();
    return true;
  }

  /** Counts a connection until it is closed. */
  @SuppressWarnings("FutureReturnValueIgnored") // the future is the one listened to
  void register(Channel channel) {
    open++;
    channel
        .closeFuture()
        .addListener(
            closed -> {
              open--;
              markBusy(channel);
            });
  }

  /**
   * Whether a connection to this process should end with its response.
   *
   * @param expendable whether it is one of those that end first
   */
  boolean closesAfterResponse(boolean expendable) {
    return open > maxOpen * (expendable ? CLOSE_EXPENDABLE_SHARE : CLOSE_ALL_SHARE);
  }

  /** A connection for calls of this process waits for the next call. */
  void markIdleOutbound(Channel channel) {
    if (channel.isActive()) {
      idleOutbound.add(channel);
    }
  }

  /** A connection of a client waits for the next request. */
  void markIdleInbound(Channel channel) {
    if (channel.isActive()) {
      idleInbound.add(channel);
    }
  }

  /** A connection is in use again, or closed. */
  void markBusy(Channel channel) {
    idleOutbound.remove(channel);
    idleInbound.remove(channel);
  }

  /** How many connections are open. */
  public int openCount() {
    return open;
  }
}
