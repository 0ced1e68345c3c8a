package org.fieldtrestle.simulation;

import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.fieldtrestle.transport.Reactor;

/** Simulated time. All events run one after the other, in an order that the seed determines. */
final class SimulatedTime {
  private record Event(long atMs, long order, BooleanSupplier alive, Runnable work) {}

  final RandomGenerator random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.atMs != b.atMs ? Long.compare(a.atMs, b.atMs) : Long.compare(a.order, b.order));
  private long nowMs;
  private long order;

  SimulatedTime(RandomGenerator random) {
    this.random = random;
  }

  long nowMs() {
    return nowMs;
  }

  void after(long delayMs, Runnable work) {
    after(delayMs, () -> true, work);
  }

  void after(long delayMs, BooleanSupplier alive, Runnable work) {
    events.add(new Event(nowMs + Math.max(0, delayMs), ++order, alive, work));
  }

  void runUntil(long endMs) {
    while (!events.isEmpty() && events.peek().atMs <= endMs) {
      Event next = events.poll();
      nowMs = Math.max(nowMs, next.atMs);
      if (next.alive.getAsBoolean()) {
        next.work.run();
      }
    }
    nowMs = endMs;
  }

  /** Returns a random number from {@code low} to {@code high}, both inclusive. */
  long between(long low, long high) {
    return low + random.nextLong(high - low + 1);
  }

  boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  /**
   * Returns the reactor of a process that can be killed and whose steady clock drifts.
   *
   * @param alive returns whether the process has not been killed
   * @param turn runs work, or keeps it for later while the process is frozen
   * @param drift relative error of the steady clock
   * @param wallClockOffsetMs error of the wall clock, in milliseconds
   */
  Reactor process(
      BooleanSupplier alive, Consumer<Runnable> turn, double drift, long wallClockOffsetMs) {
    long startedAtMs = nowMs;
    return new Reactor() {
      @Override
      public long nowMs() {
        return Math.round((nowMs - startedAtMs) * (1 + drift));
      }

      @Override
      public long wallClockMs() {
        return 1_700_000_000_000L + nowMs + wallClockOffsetMs;
      }

      @Override
      public void execute(Runnable work) {
        after(0, alive, () -> turn.accept(work));
      }

      @Override
      public Timer schedule(long delayMs, Runnable work) {
        boolean[] cancelled = {false};
        after(
            Math.round(delayMs / (1 + drift)),
            alive,
            () ->
                turn.accept(
                    () -> {
                      if (!cancelled[0]) {
                        work.run();
                      }
                    }));
        return () -> cancelled[0] = true;
      }
    };
  }
}
