package org.fieldtrestle.state;

import java.util.ArrayDeque;
import org.fieldtrestle.transport.Reactor;

/**
 * Requests to the state service that wait for this controller's part of its rate limits.
 *
 * <p>Reads and writes wait in queues of their own and take turns, so that neither can keep the
 * other away: writes may wait for minutes after many machines were lost, while users ask about
 * their jobs every few seconds. Both queues are bounded; what does not fit is refused at once.
 */
final class RequestQueue {
  /** Writes that wait at the most. */
  private static final int MAX_WRITES = 64;

  /** Reads that wait at the most: some ten seconds of them where few requests are allowed. */
  private static final int MAX_READS = 256;

  /** Share of our requests that reads, which users' questions cause, may take. */
  private static final double READ_SHARE = 0.55;

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
    requests.take(reactor.now(), 1);
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
    long wait = sendUntilLimited();
    if (wait > 0) {
      nextDrain = reactor.schedule(wait, this::drain);
    }
  }

  /** Sends what may go now; returns for how long the next has to wait, 0 where there is none. */
  private long sendUntilLimited() {
    while (true) {
      long readWait = readWaitMs();
      long writeWait = writeWaitMs();
      if (readWait == Long.MAX_VALUE && writeWait == Long.MAX_VALUE) {
        return 0;
      }
      if (readWait > 0 && writeWait > 0) {
        return Math.min(readWait, writeWait);
      }
      if (readWait <= 0 && (readsNext || writeWait > 0)) {
        sendRead();
      } else {
        sendWrite();
      }
    }
  }

  private long readWaitMs() {
    if (waitingReads.isEmpty()) {
      return Long.MAX_VALUE;
    }
    long now = reactor.now();
    return Math.max(requests.waitMs(now, 1), reads.waitMs(now, 1));
  }

  private long writeWaitMs() {
    if (waitingWrites.isEmpty()) {
      return Long.MAX_VALUE;
    }
    long now = reactor.now();
    return Math.max(
        requests.waitMs(now, 1), changes.waitMs(now, waitingWrites.peekFirst().changes()));
  }

  private void sendRead() {
    Request request = waitingReads.removeFirst();
    reads.take(reactor.now(), 1);
    readsNext = false;
    send(request);
  }

  private void sendWrite() {
    Request request = waitingWrites.removeFirst();
    changes.take(reactor.now(), request.changes());
    readsNext = true;
    send(request);
  }

  private void send(Request request) {
    requests.take(reactor.now(), 1);
    request.send().run();
  }
}
