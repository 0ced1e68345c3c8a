package org.fieldtrestle.state;

import java.util.ArrayDeque;
import org.fieldtrestle.transport.Reactor;

/**
 * Requests to the key-value store that wait for this controller's part of its rate limits.
 *
 * <p>Reads and writes wait in queues of their own and take turns, so that neither can keep the
 * other away: writes may wait for minutes after many machines were lost, while users ask about
 * their jobs every few seconds. Both queues are bounded; what does not fit is refused at once.
 */
final class RequestQueue {
  /** How many writes may wait. */
  private static final int MAX_WRITES = 64;

  /** How many reads may wait: some ten seconds' worth where few requests are allowed. */
  private static final int MAX_READS = 256;

  /** Share of this controller's requests that reads, which users' questions cause, may take. */
  private static final double READ_SHARE = 0.55;

  private static final long NOTHING_WAITS = Long.MAX_VALUE;

  private record Request(int changes, Runnable send) {}

  private final Reactor reactor;
  private final TokenBucket requests;
  private final TokenBucket changes;
  private final TokenBucket reads;
  private final ArrayDeque<Request> waitingWrites = new ArrayDeque<>();
  private final ArrayDeque<Request> waitingReads = new ArrayDeque<>();
  private boolean readsNext;
  private Reactor.Timer nextDrain;

  /**
   * @param requestsPerSecond what this controller may send
   * @param changesPerSecond how many keys it may change
   */
  RequestQueue(Reactor reactor, double requestsPerSecond, double changesPerSecond) {
    this.reactor = reactor;
    this.requests = new TokenBucket(requestsPerSecond);
    this.reads = new TokenBucket(requestsPerSecond * READ_SHARE);
    this.changes = new TokenBucket(changesPerSecond);
  }

  /** Whether so many writes wait that new work should be held back. */
  boolean isCongested() {
    return waitingWrites.size() >= MAX_WRITES / 2;
  }

  /** Counts a request that is sent without waiting. */
  void sentDirectly() {
    requests.take(reactor.nowMs(), 1);
  }

  /**
   * Sends a write once the limits allow it.
   *
   * @return false if the queue is full, so that it is never sent
   */
  boolean write(int changedKeys, Runnable send) {
    return enqueue(waitingWrites, MAX_WRITES, new Request(changedKeys, send));
  }

  /**
   * Sends a write before all others that wait, also where the queue is full: for the few on which
   * everything else depends.
   */
  void writeFirst(int changedKeys, Runnable send) {
    waitingWrites.addFirst(new Request(changedKeys, send));
    drain();
  }

  /**
   * Sends a read once the limits allow it.
   *
   * @return false if the queue is full, so that it is never sent
   */
  boolean read(Runnable send) {
    return enqueue(waitingReads, MAX_READS, new Request(0, send));
  }

  private boolean enqueue(ArrayDeque<Request> queue, int most, Request request) {
    if (queue.size() >= most) {
      return false;
    }
    queue.addLast(request);
    drain();
    return true;
  }

  private void drain() {
    if (nextDrain != null) {
      nextDrain.cancel();
      nextDrain = null;
    }
    long waitMs = sendUntilLimited();
    if (waitMs > 0) {
      nextDrain = reactor.schedule(waitMs, this::drain);
    }
  }

  /** Sends what the limits allow now; returns the wait of the next one in ms, 0 if none waits. */
  private long sendUntilLimited() {
    while (true) {
      long readWaitMs = readWaitMs();
      long writeWaitMs = writeWaitMs();
      if (readWaitMs == NOTHING_WAITS && writeWaitMs == NOTHING_WAITS) {
        return 0;
      }
      if (readWaitMs > 0 && writeWaitMs > 0) {
        return Math.min(readWaitMs, writeWaitMs);
      }
      if (readWaitMs <= 0 && (readsNext || writeWaitMs > 0)) {
        sendRead();
      } else {
        sendWrite();
      }
    }
  }

  private long readWaitMs() {
    if (waitingReads.isEmpty()) {
      return NOTHING_WAITS;
    }
    long now = reactor.nowMs();
    return Math.max(requests.waitMs(now, 1), reads.waitMs(now, 1));
  }

  private long writeWaitMs() {
    if (waitingWrites.isEmpty()) {
      return NOTHING_WAITS;
    }
    long now = reactor.nowMs();
    return Math.max(
        requests.waitMs(now, 1), changes.waitMs(now, waitingWrites.peekFirst().changes()));
  }

  private void sendRead() {
    Request request = waitingReads.removeFirst();
    reads.take(reactor.nowMs(), 1);
    readsNext = false;
    send(request);
  }

  private void sendWrite() {
    Request request = waitingWrites.removeFirst();
    changes.take(reactor.nowMs(), request.changes());
    readsNext = true;
    send(request);
  }

  private void send(Request request) {
    requests.take(reactor.nowMs(), 1);
    request.send().run();
  }
}
