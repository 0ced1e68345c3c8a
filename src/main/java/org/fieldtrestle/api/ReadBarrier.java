package org.fieldtrestle.api;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.state.CommitResult;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.transport.Reactor;

/**
 * What is told to a user must not be older than what any node told before. Whoever passes here
 * knows everything that was written before it came.
 *
 * <p>Either of two ways proves that: a revision that the state service named after the request came
 * has been followed, or a watch was opened after it came and has been answered. All who wait
 * together share one request for the revision; a watch that is answered serves them also where that
 * request is late or lost.
 */
final class ReadBarrier {
  private static final int OUTAGE = 503;

  private static final List<KeyValueProtocol.Condition> NO_CHANGE =
      List.of(new KeyValueProtocol.Condition(StateKeys.LIVE_PREFIX + "barrier", 0));

  private static final class Waiter {
    final long askedAt;
    final Consumer<Boolean> done;

    /** What has to be followed; below 0 while that is not known. */
    long revision = -1;

    boolean over;

    Waiter(long askedAt, Consumer<Boolean> done) {
      this.askedAt = askedAt;
      this.done = done;
    }
  }

  private final Reactor reactor;
  private final ControllerContext context;
  private final long gapMs;
  private final long patienceMs;

  /** All who wait, in the order in which they came. */
  private final Deque<Waiter> waiters = new ArrayDeque<>();

  private boolean asking;
  private boolean expiring;
  private long nextAt;

  /**
   * @param patienceMs after which it is of no use to wait any longer
   */
  ReadBarrier(ControllerContext context, long patienceMs) {
    this.context = context;
    this.patienceMs = patienceMs;
    this.reactor = context.reactor();
    this.gapMs = context.stateCache().watchIntervalMs();
    context.stateCache().addProgressListener(this::release);
  }

  /** Calls back with true once everything written before now is known; false where that failed. */
  void pass(Consumer<Boolean> done) {
    waiters.addLast(new Waiter(reactor.now(), done));
    ask();
    expireLater();
  }

  private boolean anyWithoutRevision() {
    return !waiters.isEmpty() && waiters.peekLast().revision < 0;
  }

  private void ask() {
    if (asking || !anyWithoutRevision()) {
      return;
    }
    asking = true;
    long wait = nextAt - reactor.now();
    if (wait > 0) {
      reactor.schedule(wait, this::send);
    } else {
      send();
    }
  }

  private void send() {
    List<Waiter> asked = new ArrayList<>();
    for (Waiter waiter : waiters) {
      if (waiter.revision < 0) {
        asked.add(waiter);
      }
    }
    if (asked.isEmpty()) { // a watch has served them meanwhile
      asking = false;
      return;
    }
    nextAt = reactor.now() + gapMs;
    context.store().compare(NO_CHANGE, result -> answered(asked, result));
  }

  private void answered(List<Waiter> asked, CommitResult result) {
    asking = false;
    if (result instanceof CommitResult.Committed committed) {
      asked.forEach(waiter -> waiter.revision = committed.revision());
      release();
    } else if (result instanceof CommitResult.Refused refused && refused.status() == OUTAGE) {
      finish(asked, false);
    }
    // Otherwise the next request is for them too.
    ask();
  }

  /** Lets those go who know enough now. */
  private void release() {
    long followed = context.stateCache().appliedRevision();
    long freshAsOf = context.stateCache().freshAsOf();
    List<Waiter> served = new ArrayList<>();
    for (Waiter waiter : waiters) {
      if (waiter.askedAt < freshAsOf || waiter.revision >= 0 && waiter.revision <= followed) {
        served.add(waiter);
      }
    }
    finish(served, true);
  }

  private void expireLater() {
    if (expiring || waiters.isEmpty()) {
      return;
    }
    expiring = true;
    long due = waiters.peekFirst().askedAt + patienceMs;
    reactor.schedule(Math.max(0, due - reactor.now()), this::expire);
  }

  private void expire() {
    expiring = false;
    List<Waiter> late = new ArrayList<>();
    for (Iterator<Waiter> all = waiters.iterator(); all.hasNext(); ) {
      Waiter waiter = all.next();
      if (waiter.askedAt + patienceMs > reactor.now()) {
        break;
      }
      late.add(waiter);
    }
    finish(late, false);
    expireLater();
  }

  private void finish(List<Waiter> leaving, boolean passed) {
    List<Waiter> present = leaving.stream().filter(waiter -> !waiter.over).toList();
    if (present.isEmpty()) {
      return;
    }
    present.forEach(waiter -> waiter.over = true);
    waiters.removeIf(waiter -> waiter.over);
    present.forEach(waiter -> waiter.done.accept(passed));
  }
}
