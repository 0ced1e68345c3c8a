package org.fieldtrestle.transport;

import io.netty.channel.Channel;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The sockets of this process, shared out by need. One controller left alone has the connections of
 * all machines' workers beside its users', so that no fixed part of the limit would do for either:
 * whoever needs one gets it while there are any, then in the place of an idle connection. A few are
 * kept for those we depend on. Lives on one event loop.
 */
public final class SocketBudget {
  /** Share of the limit that is no socket of ours: files, and those that are still being closed. */
  private static final double BESIDE = 0.04;

  /** Share that is kept for the state service, the cloud and the other controllers. */
  private static final double KEPT = 0.04;

  /** From this share on connections of those that can best do without end with their answers. */
  private static final double AMPLE = 0.8;

  /** And from this share on all of them do. */
  private static final double SCARCE = 0.9;

  private final int most;
  private final int kept;

  /** Idle connections, the longest idle first: calls' are given up before those of who calls us. */
  private final Set<Channel> idleOut = new LinkedHashSet<>();

  private final Set<Channel> idleIn = new LinkedHashSet<>();
  private int open;

  public SocketBudget(int limit) {
    this.kept = (int) Math.ceil(limit * KEPT);
    this.most = Math.max(1, limit - (int) Math.ceil(limit * BESIDE));
  }

  /**
   * Asks for a socket for a connection; an idle connection gives way where there is no other.
   *
   * @param needed whether we depend on it
   */
  boolean free(boolean needed) {
    int bound = needed ? most : Math.max(1, most - kept);
    while (open >= bound) {
      if (!closeOldest(idleOut) && !closeOldest(idleIn)) {
        return false;
      }
    }
    return true;
  }

  /** Gives up the connection of a call that is idle the longest; false where there is none. */
  boolean closeIdleCall() {
    return closeOldest(idleOut);
  }

  private static boolean closeOldest(Set<Channel> idle) {
    Iterator<Channel> all = idle.iterator();
    if (!all.hasNext()) {
      return false;
    }
    Channel first = all.next();
    all.remove();
    first.close();
    return true;
  }

  /** Counts a connection until it is closed. */
  void opened(Channel channel) {
    open++;
    channel
        .closeFuture()
        .addListener(
            closed -> {
              open--;
              idleOut.remove(channel);
              idleIn.remove(channel);
            });
  }

  /** Whether a connection to us should end with its answer. */
  boolean endsWithAnswer(boolean bestDoesWithout) {
    return open > most * (bestDoesWithout ? AMPLE : SCARCE);
  }

  void idle(Channel channel, boolean ours) {
    if (channel.isActive()) {
      (ours ? idleOut : idleIn).add(channel);
    }
  }

  void busy(Channel channel) {
    idleOut.remove(channel);
    idleIn.remove(channel);
  }

  public int open() {
    return open;
  }
}
