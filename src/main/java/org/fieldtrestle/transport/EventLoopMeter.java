package org.fieldtrestle.transport;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Counts how often the event loop does each kind of work and how long that takes. The time of an
 * activity within another one counts for the inner one alone, so that the times add up. Used on one
 * event loop only.
 */
public final class EventLoopMeter {
  /** The kinds of work. Their names are keys of the statistics page. */
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

    /** The name of this activity in the log and on the statistics page. */
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

  /** The activity that the time since {@code currentSinceNanos} counts for; null for none. */
  private Activity current;

  private long currentSinceNanos;

  /**
   * @param nanoTime a steady clock in nanoseconds
   */
  public EventLoopMeter(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    for (Activity activity : Activity.values()) {
      totals.put(activity, new Total());
    }
  }

  /** Runs a task and counts it as an activity. */
  public void run(Activity activity, Runnable task) {
    Activity outer = begin(activity);
    try {
      task.run();
    } finally {
      end(outer);
    }
  }

  /**
   * Begins an activity.
   *
   * @return the interrupted activity, or null; to be passed to {@link #end}
   */
  public Activity begin(Activity activity) {
    Activity outer = current;
    switchTo(activity);
    totals.get(activity).count++;
    return outer;
  }

  /** Ends the activity that began last. */
  public void end(Activity outer) {
    switchTo(outer);
  }

  private void switchTo(Activity next) {
    long now = nanoTime.getAsLong();
    if (current != null) {
      totals.get(current).nanos += now - currentSinceNanos;
    }
    current = next;
    currentSinceNanos = now;
  }

  /** How many milliseconds an activity has taken so far. */
  public double totalMs(Activity activity) {
    return totals.get(activity).nanos / NANOS_PER_MS;
  }

  /** How often an activity was done so far. */
  public long count(Activity activity) {
    return totals.get(activity).count;
  }

  /** All activities that were done at all, with count and time, the longest first. */
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
