package org.fieldtrestle.transport;

/**
 * The single thread of a controller and its clocks. All code that owns state runs on this thread,
 * one task at a time. Tests use a simulated reactor.
 */
public interface Reactor {
  /** Returns the time of a monotonic clock in milliseconds. Its origin is arbitrary. */
  long nowMs();

  /**
   * Returns the wall-clock time in milliseconds since 1970. Its error is within the bound that the
   * settings give.
   */
  long wallClockMs();

  /** Returns the time of a monotonic clock in nanoseconds, for measuring durations only. */
  default long nanoTime() {
    return nowMs() * 1_000_000;
  }

  /** Runs a task after all tasks that were queued earlier. */
  void execute(Runnable task);

  /** Runs a task once, after a delay in milliseconds. */
  Timer schedule(long delayMs, Runnable task);

  /** A scheduled task that can be cancelled. */
  interface Timer {
    /** Cancels the task unless it has begun. */
    void cancel();
  }
}
