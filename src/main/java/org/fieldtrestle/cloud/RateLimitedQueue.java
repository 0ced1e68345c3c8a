package org.fieldtrestle.cloud;

import java.util.ArrayDeque;
import org.fieldtrestle.transport.Reactor;

/**
 * Sends requests at a limited rate. Requests that change the fleet go before those that only read:
 * a machine list takes many pages.
 */
final class RateLimitedQueue {
  private final Reactor reactor;
  private final long intervalMs;
  private final ArrayDeque<Runnable> changes = new ArrayDeque<>();
  private final ArrayDeque<Runnable> reads = new ArrayDeque<>();
  private long nextAtMs;
  private boolean scheduled;

  /**
   * Sets up an empty queue.
   *
   * @param intervalMs ms between two requests on average
   */
  RateLimitedQueue(Reactor reactor, long intervalMs) {
    this.reactor = reactor;
    this.intervalMs = intervalMs;
  }

  /** Sends a request that changes the fleet, as soon as the rate allows. */
  void addChange(Runnable request) {
    changes.addLast(request);
    sendDue();
  }

  /** Sends a request that only reads, as soon as the rate allows and no change waits. */
  void addRead(Runnable request) {
    reads.addLast(request);
    sendDue();
  }

  private void sendDue() {
    while (!scheduled && !(changes.isEmpty() && reads.isEmpty())) {
      long waitMs = nextAtMs - reactor.now();
      if (waitMs > 0) {
        scheduled = true;
        reactor.schedule(waitMs, this::resume);
        return;
      }
      // Two requests may go close together, as the cloud allows bursts.
      nextAtMs = Math.max(nextAtMs + intervalMs, reactor.now() - intervalMs);
      (changes.isEmpty() ? reads : changes).removeFirst().run();
    }
  }

  private void resume() {
    scheduled = false;
    sendDue();
  }
}
