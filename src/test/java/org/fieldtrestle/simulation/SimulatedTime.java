package org.fieldtrestle.simulation;

import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.fieldtrestle.transport.Reactor;

/** Simulated time: everything happens in one order that the seed decides. */
final class SimulatedTime {
  private record Event(long at, long order, BooleanSupplier alive, Runnable work) {}

  final RandomGenerator random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private long now;
  private long order;

  SimulatedTime(RandomGenerator random) {
    this.random = random;
  }

  long now() {
    return now;
  }

  void after(long ms, Runnable work) {
    after(ms, () -> true, work);
  }

  void after(long ms, BooleanSupplier alive, Runnable work) {
    events.add(new Event(now + Math.max(0, ms), ++order, alive, work));
  }

  void runUntil(long end) {
    while (!events.isEmpty() && events.peek().at <= end) {
      Event next = events.poll();
      now = Math.max(now, next.at);
      if (next.alive.getAsBoolean()) {
        next.work.run();
      }
    }
    now = end;
  }

  long between(long low, long high) {
    return low + random.nextLong(high - low + 1);
  }

  boolean chance(double p) {
    return random.nextDouble() < p;
  }

  /**
   * The reactor of one process, whose steady clock drifts and which can be killed.
   *
   * @param turn runs what is due, or keeps it for later while the process stands still
   */
  Reactor process(BooleanSupplier alive, Consumer<Runnable> turn, double drift, long wallOff) {
    long begun = now;
    return new Reactor() {
      @Override
      public long nowMs() {
        return Math.round((now - begun) * (1 + drift));
      }

      @Override
      public long wallClockMs() {
        return 1_700_000_000_000L + now + wallOff;
      }

      @Override
      public void execute(Runnable work) {
        after(0, alive, () -> turn.accept(work));
      }

      @Override
      public Timer schedule(long delayMs, Runnable work) {
        boolean[] off = {false};
        after(
            Math.round(delayMs / (1 + drift)),
            alive,
            () ->
                turn.accept(
                    () -> {
                      if (!off[0]) {
                        work.run();
                      }
                    }));
        return () -> off[0] = true;
      }
    };
  }
}
