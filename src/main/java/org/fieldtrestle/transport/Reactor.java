package org.fieldtrestle.transport;

/**
 * The single thread of a controller, and its clocks. All parts that own state run on it, one task
 * at a time; tests use a simulated one.
 */
public interface Reactor {
  /** Steady clock in milliseconds; its origin has no meaning. */
  long nowMs();

  /** Time of day in milliseconds, exact within the bound that the settings name. */
  long wallClockMs();

  /** Steady clock in nanoseconds, for measuring only. */
  default long nanoTime() {
    return nowMs() * 1_000_000;
  }

  /** Runs a task after all that were queued before it. */
  void execute(Runnable work);

  /** Runs a task once, after a delay in milliseconds. */
  Timer schedule(long delayMs, Runnable work);

  /** A scheduled task that can be cancelled. */
  interface Timer {
    /** Cancels the task unless it has begun. */
    void cancel();
  }
}
