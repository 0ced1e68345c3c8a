package org.fieldtrestle.transport;

import io.netty.channel.Channel;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Allocates the sockets of this process to its connections. Users and workers have no fixed shares
 * of the limit, because the last remaining controller of a cluster serves the connections of all
 * workers besides those of its users. Instead, a new connection gets a free socket, or if there is
 * none, an idle connection is closed to make room for it. Some sockets are reserved for essential
 * connections. Not thread-safe: all calls must be made on one event loop.
 */
public final class SocketBudget {
  /** The share of the limit that is kept for files and for sockets that are being closed. */
  private static final double OTHER_DESCRIPTORS_SHARE = 0.04;

  /** The share of the limit that is reserved for essential connections. */
  private static final double RESERVED_SHARE = 0.04;

  /** The share of sockets in use above which expendable connections close after a response. */
  private static final double CLOSE_EXPENDABLE_SHARE = 0.8;

  /** The share of sockets in use above which all inbound connections close after a response. */
  private static final double CLOSE_ALL_SHARE = 0.9;

  /** The priority of a connection when sockets are scarce. */
  enum ConnectionPriority {
    /** A connection with the key-value store, the cloud or another controller. */
    ESSENTIAL,
    /** A connection with a user or a worker. */
    ORDINARY
  }

  private final int maxOpen;
  private final int reserved;

  /**
   * The idle connections for calls of this process, which are closed before those of clients. The
   * one that has been idle longest is first.
   */
  private final Set<Channel> idleOutbound = new LinkedHashSet<>();

  /** The idle connections of clients; the one that has been idle longest is first. */
  private final Set<Channel> idleInbound = new LinkedHashSet<>();

  private int openCount;

  /**
   * Creates a budget without connections.
   *
   * @param limit the number of file descriptors that this process may use for connections and for
   *     everything else
   */
  public SocketBudget(int limit) {
    this.reserved = (int) Math.ceil(limit * RESERVED_SHARE);
    this.maxOpen = Math.max(1, limit - (int) Math.ceil(limit * OTHER_DESCRIPTORS_SHARE));
  }

  /**
   * Closes idle connections until a socket is free for a new connection.
   *
   * @return whether a socket is free
   */
  boolean makeRoom(ConnectionPriority priority) {
    int bound =
        priority == ConnectionPriority.ESSENTIAL ? maxOpen : Math.max(1, maxOpen - reserved);
    while (openCount >= bound) {
      if (!closeLongestIdle(idleOutbound) && !closeLongestIdle(idleInbound)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Closes the connection for calls of this process that has been idle longest.
   *
   * @return {@code false} if no such connection is idle
   */
  boolean closeIdleOutbound() {
    return closeLongestIdle(idleOutbound);
  }

  @SuppressWarnings("FutureReturnValueIgnored") // register() listens for the close
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

  /** Counts a new connection until it is closed. */
  @SuppressWarnings("FutureReturnValueIgnored") // addListener() returns the close future itself
  void register(Channel channel) {
    openCount++;
    channel
        .closeFuture()
        .addListener(
            closed -> {
              openCount--;
              markBusy(channel);
            });
  }

  /**
   * Whether an inbound connection must be closed after its response because sockets are scarce.
   *
   * @param expendable whether the connection is one of those that are closed first
   */
  boolean mustCloseAfterResponse(boolean expendable) {
    return openCount > maxOpen * (expendable ? CLOSE_EXPENDABLE_SHARE : CLOSE_ALL_SHARE);
  }

  /** Called when a connection for calls of this process has become idle. */
  void markIdleOutbound(Channel channel) {
    if (channel.isActive()) {
      idleOutbound.add(channel);
    }
  }

  /** Called when a connection of a client has become idle. */
  void markIdleInbound(Channel channel) {
    if (channel.isActive()) {
      idleInbound.add(channel);
    }
  }

  /** Called when a connection is used again or has been closed. */
  void markBusy(Channel channel) {
    idleOutbound.remove(channel);
    idleInbound.remove(channel);
  }

  /** Returns the number of open connections. */
  public int openCount() {
    return openCount;
  }
}
