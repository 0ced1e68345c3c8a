package org.fieldtrestle.state;

import java.util.ArrayDeque;
import org.fieldtrestle.transport.Reactor;

/**
 * Delays requests to the key-value store until this controller's share of the store's rate limits
 * allows them.
 *
 * <p>Reads and writes wait in separate queues and take turns, so that neither can block the other:
 * writes may wait for minutes after many machines have been lost, while users query their jobs
 * every few seconds. Both queues are bounded; a request that does not fit is refused at once.
 */
final class RequestQueue {
  /** How many writes may wait. */
  private static final int MAX_WAITING_WRITES = 64;

  /** How many reads may wait: about ten seconds' worth if only few requests are allowed. */
  private static final int MAX_WAITING_READS = 256;

  /** Share of this controller's requests that may be reads; users' queries cause these. */
  private static final double READ_SHARE = 0.55;

  private static final long QUEUE_EMPTY = Long.MAX_VALUE;

  private record Request(int changes, Runnable send) {}

  private final Reactor reactor;
  private final TokenBucket requestTokens;
  private final TokenBucket changeTokens;
  private final TokenBucket readTokens;
  private final ArrayDeque<Request> waitingWrites = new ArrayDeque<>();
  private final ArrayDeque<Request> waitingReads = new ArrayDeque<>();
  private boolean readsNext;
  private Reactor.Timer nextDrainTimer;

  /**
   * @param requestsPerSecond how many requests this controller may send
   * @param changesPerSecond how many keys this controller may change
   */
  RequestQueue(Reactor reactor, double requestsPerSecond, double changesPerSecond) {
    this.reactor = reactor;
    this.requestTokens = new TokenBucket(requestsPerSecond);
    this.readTokens = new TokenBucket(requestsPerSecond * READ_SHARE);
    this.changeTokens = new TokenBucket(changesPerSecond);
  }

  /** Returns whether so many writes are waiting that new work should be held back. */
  boolean isCongested() {
    return waitingWrites.size() >= MAX_WAITING_WRITES / 2;
  }

  /** Called when a request is sent without waiting in a queue; counts it against the rate limit. */
  void requestSentDirectly() {
    requestTokens.take(reactor.nowMs(), 1);
  }

  /**
   * Sends a write once the rate limits allow it.
   *
   * @return {@code false} if the queue is full; the write is never sent then
   */
  boolean enqueueWrite(int changedKeys, Runnable send) {
    return enqueue(waitingWrites, MAX_WAITING_WRITES, new Request(changedKeys, send));
  }

  /**
   * Sends a write ahead of all waiting ones, even if the queue is full. Only for the few writes on
   * which everything else depends.
   */
  void enqueueWriteFirst(int changedKeys, Runnable send) {
    waitingWrites.addFirst(new Request(changedKeys, send));
    drain();
  }

  /**
   * Sends a read once the rate limits allow it.
   *
   * @return {@code false} if the queue is full; the read is never sent then
   */
  boolean enqueueRead(Runnable send) {
    return enqueue(waitingReads, MAX_WAITING_READS, new Request(0, send));
  }

  private boolean enqueue(ArrayDeque<Request> queue, int maxSize, Request request) {
    if (queue.size() >= maxSize) {
      return false;
    }
    queue.addLast(request);
    drain();
    return true;
  }

  private void drain() {
    if (nextDrainTimer != null) {
      nextDrainTimer.cancel();
      nextDrainTimer = null;
    }
    long waitMs = sendUntilLimited();
    if (waitMs > 0) {
      nextDrainTimer = reactor.schedule(waitMs, this::drain);
    }
  }

  /**
   * Sends the requests that the rate limits allow now. Returns the time until the next request may
   * be sent, in milliseconds; 0 if no request is waiting.
   */
  private long sendUntilLimited() {
    while (true) {
      long readWaitMs = readWaitMs();
      long writeWaitMs = writeWaitMs();
      if (readWaitMs == QUEUE_EMPTY && writeWaitMs == QUEUE_EMPTY) {
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
      return QUEUE_EMPTY;
    }
    long nowMs = reactor.nowMs();
    return Math.max(requestTokens.waitMs(nowMs, 1), readTokens.waitMs(nowMs, 1));
  }

  private long writeWaitMs() {
    if (waitingWrites.isEmpty()) {
      return QUEUE_EMPTY;
    }
    long nowMs = reactor.nowMs();
    return Math.max(
        requestTokens.waitMs(nowMs, 1),
        changeTokens.waitMs(nowMs, waitingWrites.peekFirst().changes()));
  }

  private void sendRead() {
    Request request = waitingReads.removeFirst();
    readTokens.take(reactor.nowMs(), 1);
    readsNext = false;
    send(request);
  }

  private void sendWrite() {
    Request request = waitingWrites.removeFirst();
    changeTokens.take(reactor.nowMs(), request.changes());
    readsNext = true;
    send(request);
  }

  private void send(Request request) {
    requestTokens.take(reactor.nowMs(), 1);
    request.send().run();
  }
}
