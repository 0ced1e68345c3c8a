package org.fieldtrestle.cloud;

import java.util.ArrayDeque;
import org.fieldtrestle.transport.Reactor;

/**
 * Sends requests at a limited rate. Requests that change the fleet are sent before those that only
 * read, as a machine list takes many pages and would delay them.
 */
final class RateLimitedQueue {
  private final Reactor reactor;
  private final long intervalMs;
  private final ArrayDeque<Runnable> changes = new ArrayDeque<>();
  private final ArrayDeque<Runnable> reads = new ArrayDeque<>();
  private long nextSendAtMs;
  private boolean sendScheduled;

  /**
   * Creates an empty queue.
   *
   * @param intervalMs average time between two requests, in milliseconds
   */
  RateLimitedQueue(Reactor reactor, long intervalMs) {
    this.reactor = reactor;
    this.intervalMs = intervalMs;
  }

  /** Sends a request that changes the fleet, as soon as the rate limit allows. */
  void addChange(Runnable request) {
    changes.addLast(request);
    sendDue();
  }

  /** Sends a request that only reads, as soon as the rate limit allows and no change is waiting. */
  void addRead(Runnable request) {
    reads.addLast(request);
    sendDue();
  }

  private void sendDue() {
    while (!sendScheduled && !(changes.isEmpty() && reads.isEmpty())) {
      long waitMs = nextSendAtMs - reactor.nowMs();
      if (waitMs > 0) {
        sendScheduled = true;
        reactor.schedule(waitMs, this::resume);
        return;
      }
      // After a pause three requests are sent at once, as the cloud allows bursts.
      nextSendAtMs = Math.max(nextSendAtMs + intervalMs, reactor.nowMs() - intervalMs);
      (changes.isEmpty() ? reads : changes).removeFirst().run();
    }
  }

  private void resume() {
    sendScheduled = false;
    sendDue();
  }
}
