package org.fieldtrestle.transport;

import java.util.Arrays;
import java.util.Locale;
import java.util.function.LongSupplier;

/**
 * Counts how often the event loop does each kind of work and how long that takes. Work that is done
 * within other work counts for itself alone, so that the times add up. Lives on one event loop.
 */
public final class EventLoopMeter {
  /** The kinds of work that are told apart. */
  public enum Work {
    HTTP_SERVER_READ,
    HTTP_SERVER_WRITE,
    HTTP_CLIENT_READ,
    HTTP_CLIENT_WRITE,
    WORKER_REPORT,
    WORKER_COMMAND_ANSWER,
    USER_SUBMISSION,
    USER_QUERY,
    USER_CANCELLATION,
    OTHER_REQUEST,
    STATE_WATCH,
    STATE_ANSWER,
    CLOUD_ANSWER,
    PEER_FRAME,
    PEER_BROADCAST,
    PERIODIC_CHECKS,
    FLEET_SIZING,
    PLACEMENT;

    /** The name of this kind of work in the log and on the statistics page. */
    public String printedName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  private static final int NONE = -1;
  private static final int KINDS = Work.values().length;

  private final LongSupplier nanoTime;
  private final long[] nanos = new long[KINDS];
  private final long[] counts = new long[KINDS];
  private int current = NONE;
  private long currentSince;

  /**
   * @param nanoTime a steady clock in nanoseconds
   */
  public EventLoopMeter(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
  }

  /** Does some work and counts it. */
  public void run(Work work, Runnable task) {
    int outer = begin(work);
    try {
      task.run();
    } finally {
      end(outer);
    }
  }

  /**
   * Begins some work.
   *
   * @return what {@link #end} has to be given once it is over
   */
  public int begin(Work work) {
    int outer = current;
    switchTo(work.ordinal());
    counts[current]++;
    return outer;
  }

  /** Ends the work that began last. */
  public void end(int outer) {
    switchTo(outer);
  }

  private void switchTo(int next) {
    long now = nanoTime.getAsLong();
    if (current != NONE) {
      nanos[current] += now - currentSince;
    }
    current = next;
    currentSince = now;
  }

  /** How many milliseconds some work has taken so far. */
  public double millis(Work work) {
    return nanos[work.ordinal()] / 1e6;
  }

  /** How often some work was done so far. */
  public long count(Work work) {
    return counts[work.ordinal()];
  }

  /** Every kind of work that was done at all, with its count and time, the longest first. */
  public String summary() {
    StringBuilder text = new StringBuilder();
    Arrays.stream(Work.values())
        .filter(work -> count(work) > 0)
        .sorted((a, b) -> Double.compare(millis(b), millis(a)))
        .forEach(
            work ->
                text.append(text.length() == 0 ? "" : ", ")
                    .append(work.printedName())
                    .append(' ')
                    .append(count(work))
                    .append(" in ")
                    .append(Math.round(millis(work)))
                    .append(" ms"));
    return text.toString();
  }
}
