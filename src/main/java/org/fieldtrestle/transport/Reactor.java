package org.fieldtrestle.transport;

/**
 * Time and the single thread of a controller. Everything that owns state runs here, one message at
 * a time; tests put a simulated one in its place.
 */
public interface Reactor {
  /** Steady milliseconds; says nothing about the time of day. */
  long now();

  /** Time of day in milliseconds, right within the bound that the settings name. */
  long wall();

  /** The steady clock in nanoseconds, for measuring only. */
  default long nanoTime() {
    return now() * 1_000_000;
  }

  void execute(Runnable work);

  Timer schedule(long delayMs, Runnable work);

  /** A pending delay that can be called off. */
  interface Timer {
    void cancel();
  }
}
