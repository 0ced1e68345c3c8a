package org.fieldtrestle.transport;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Counts how often the event loop performs each kind of work and measures how long that takes. The
 * time of a nested activity counts only for the nested one, so the times add up to the total time
 * spent. Not thread-safe: all calls must be made on one event loop.
 */
public final class EventLoopMeter {
  /** The kinds of work. Their lower-case names are keys of the statistics page. */
  public enum Activity {
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

    /** Returns the name of this activity in the log and on the statistics page. */
    public String printedName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  private static final double NANOS_PER_MS = 1e6;

  private static final class Total {
    private long count;
    private long nanos;
  }

  private final LongSupplier nanoTime;
  private final Map<Activity, Total> totals = new EnumMap<>(Activity.class);

  /**
   * The activity that the time since {@code currentSinceNanos} counts for, or {@code null} if none
   * runs.
   */
  private Activity currentActivity;

  private long currentSinceNanos;

  /**
   * Creates a meter with all counts and times at zero.
   *
   * @param nanoTime a monotonic clock in nanoseconds
   */
  public EventLoopMeter(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    for (Activity activity : Activity.values()) {
      totals.put(activity, new Total());
    }
  }

  /** Runs a task and measures it as an activity. */
  public void run(Activity activity, Runnable task) {
    Activity outer = begin(activity);
    try {
      task.run();
    } finally {
      end(outer);
    }
  }

  /**
   * Begins an activity, which interrupts the current one.
   *
   * @return the interrupted activity, to be passed to {@link #end}; {@code null} if none was
   *     running
   */
  public Activity begin(Activity activity) {
    Activity outer = currentActivity;
    switchTo(activity);
    totals.get(activity).count++;
    return outer;
  }

  /**
   * Ends the current activity and resumes the one that it interrupted.
   *
   * @param outer what {@link #begin} returned
   */
  public void end(Activity outer) {
    switchTo(outer);
  }

  private void switchTo(Activity next) {
    long nowNanos = nanoTime.getAsLong();
    if (currentActivity != null) {
      totals.get(currentActivity).nanos += nowNanos - currentSinceNanos;
    }
    currentActivity = next;
    currentSinceNanos = nowNanos;
  }

  /** Returns the time in milliseconds that an activity has taken so far. */
  public double totalMs(Activity activity) {
    return totals.get(activity).nanos / NANOS_PER_MS;
  }

  /** Returns how often an activity has begun so far. */
  public long count(Activity activity) {
    return totals.get(activity).count;
  }

  /**
   * Returns a text with the count and time of each activity that has occurred, by descending time.
   */
  public String summary() {
    StringBuilder text = new StringBuilder();
    Arrays.stream(Activity.values())
        .filter(activity -> count(activity) > 0)
        .sorted((a, b) -> Double.compare(totalMs(b), totalMs(a)))
        .forEach(
            activity ->
                text.append(text.length() == 0 ? "" : ", ")
                    .append(activity.printedName())
                    .append(' ')
                    .append(count(activity))
                    .append(" in ")
                    .append(Math.round(totalMs(activity)))
                    .append(" ms"));
    return text.toString();
  }
}
