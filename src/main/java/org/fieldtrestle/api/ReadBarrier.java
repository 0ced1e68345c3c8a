package org.fieldtrestle.api;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.state.CommitResult;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.transport.Reactor;

/**
 * Delays a read until the state cache contains everything that was written before the read was
 * requested. An answer is then never older than an answer that another controller gave before.
 *
 * <p>Either of two facts proves that the cache contains all this: the cache has applied a revision
 * that the key-value store reported after the read was requested, or a watch has been answered that
 * was opened after the read was requested. All pending reads share one request for the revision.
 * The answer to a watch completes the reads even if that request is delayed or lost.
 */
final class ReadBarrier {
  private static final int SERVICE_UNAVAILABLE = 503;

  /** Compares a key that never exists; the answer contains the store's current revision. */
  private static final List<KeyValueProtocol.Condition> REVISION_REQUEST =
      List.of(new KeyValueProtocol.Condition(StateKeys.LIVE_PREFIX + "barrier", 0));

  private static final class PendingRead {
    private static final long UNKNOWN = -1;

    private final long requestedAtMs;
    private final Consumer<Boolean> callback;

    /** The revision that the state cache has to apply before the read. */
    private long revision = UNKNOWN;

    private boolean completed;

    PendingRead(long requestedAtMs, Consumer<Boolean> callback) {
      this.requestedAtMs = requestedAtMs;
      this.callback = callback;
    }

    boolean isRevisionUnknown() {
      return revision == UNKNOWN;
    }

    boolean isSatisfiedBy(long appliedRevision, long freshAsOfMs) {
      return requestedAtMs < freshAsOfMs || (!isRevisionUnknown() && revision <= appliedRevision);
    }
  }

  private final Reactor reactor;
  private final ControllerContext context;
  private final long minRequestIntervalMs;
  private final long timeoutMs;

  /** Pending reads, in the order in which they were requested. */
  private final Deque<PendingRead> pendingReads = new ArrayDeque<>();

  private boolean requestPending;
  private boolean expiryScheduled;
  private long nextRequestAtMs;

  /**
   * Creates a barrier.
   *
   * @param timeoutMs time after which a pending read fails
   */
  ReadBarrier(ControllerContext context, long timeoutMs) {
    this.context = context;
    this.timeoutMs = timeoutMs;
    this.reactor = context.reactor();
    this.minRequestIntervalMs = context.stateCache().watchIntervalMs();
    context.stateCache().addProgressListener(this::completeSatisfied);
  }

  /**
   * Calls back with {@code true} once the state cache contains everything that was written before
   * this call, or with {@code false} if the barrier fails or times out.
   */
  void await(Consumer<Boolean> callback) {
    pendingReads.addLast(new PendingRead(reactor.nowMs(), callback));
    requestRevision();
    scheduleExpiry();
  }

  private boolean isAnyRevisionUnknown() {
    // A revision is given to all pending reads that lack one at that time. If any read still lacks
    // a revision, the newest one does.
    return !pendingReads.isEmpty() && pendingReads.peekLast().isRevisionUnknown();
  }

  private void requestRevision() {
    if (requestPending || !isAnyRevisionUnknown()) {
      return;
    }
    requestPending = true;
    long delayMs = nextRequestAtMs - reactor.nowMs();
    if (delayMs > 0) {
      reactor.schedule(delayMs, this::sendRevisionRequest);
    } else {
      sendRevisionRequest();
    }
  }

  private void sendRevisionRequest() {
    List<PendingRead> reads = pendingReads.stream().filter(PendingRead::isRevisionUnknown).toList();
    if (reads.isEmpty()) { // a watch has completed all reads in the meantime
      requestPending = false;
      return;
    }
    nextRequestAtMs = reactor.nowMs() + minRequestIntervalMs;
    context.store().compare(REVISION_REQUEST, result -> onRevision(reads, result));
  }

  private void onRevision(List<PendingRead> reads, CommitResult result) {
    requestPending = false;
    if (result instanceof CommitResult.Committed committed) {
      reads.forEach(read -> read.revision = committed.revision());
      completeSatisfied();
    } else if (result instanceof CommitResult.Refused refused
        && refused.status() == SERVICE_UNAVAILABLE) {
      complete(reads, false);
    }
    // After any other result, the next request also covers these reads.
    requestRevision();
  }

  private void completeSatisfied() {
    long appliedRevision = context.stateCache().appliedRevision();
    long freshAsOfMs = context.stateCache().freshAsOfMs();
    complete(
        pendingReads.stream()
            .filter(read -> read.isSatisfiedBy(appliedRevision, freshAsOfMs))
            .toList(),
        true);
  }

  private void scheduleExpiry() {
    if (expiryScheduled || pendingReads.isEmpty()) {
      return;
    }
    expiryScheduled = true;
    long expiresAtMs = pendingReads.peekFirst().requestedAtMs + timeoutMs;
    reactor.schedule(Math.max(0, expiresAtMs - reactor.nowMs()), this::expire);
  }

  private void expire() {
    expiryScheduled = false;
    List<PendingRead> expired = new ArrayList<>();
    for (PendingRead read : pendingReads) {
      if (read.requestedAtMs + timeoutMs > reactor.nowMs()) {
        break;
      }
      expired.add(read);
    }
    complete(expired, false);
    scheduleExpiry();
  }

  private void complete(List<PendingRead> reads, boolean passed) {
    List<PendingRead> completing = reads.stream().filter(read -> !read.completed).toList();
    if (completing.isEmpty()) {
      return;
    }
    completing.forEach(read -> read.completed = true);
    pendingReads.removeIf(read -> read.completed);
    completing.forEach(read -> read.callback.accept(passed));
  }
}
