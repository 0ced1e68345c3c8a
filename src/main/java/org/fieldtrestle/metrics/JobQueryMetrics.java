package org.fieldtrestle.metrics;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts the job queries that this controller has answered, and by reason those that it has not.
 */
public final class JobQueryMetrics {
  /** The reason why a user was told to retry a query. */
  public enum Unanswered {
    /** The key-value store has not answered this controller for some time. */
    STATE_SERVICE_SILENT,
    /** The state cache did not reach the revision that the query requires in time. */
    NOT_FOLLOWED_IN_TIME,
    /** The record of the finished job could not be read. */
    END_NOT_READ,
    /** The answer was not known before the user's timeout. */
    LATE,
    /** The job's record cannot be read by this version. */
    RECORD_UNREADABLE
  }

  private static final long NO_OUTAGE = -1;

  private final Map<Unanswered, Long> unansweredQueries = new EnumMap<>(Unanswered.class);
  private long answeredQueries;
  private long longestOutageMs;

  /** The time of the first unanswered query since the last answered one. */
  private long outageSinceMs = NO_OUTAGE;

  /**
   * Called when a query was answered.
   *
   * @param nowMs the time of the reactor's clock
   */
  public void queryAnswered(long nowMs) {
    answeredQueries++;
    updateLongestOutage(nowMs);
    outageSinceMs = NO_OUTAGE;
  }

  /**
   * Called when a query could not be answered.
   *
   * @param nowMs the time of the reactor's clock
   */
  public void queryUnanswered(Unanswered reason, long nowMs) {
    unansweredQueries.merge(reason, 1L, Long::sum);
    if (outageSinceMs == NO_OUTAGE) {
      outageSinceMs = nowMs;
    }
    updateLongestOutage(nowMs);
  }

  private void updateLongestOutage(long nowMs) {
    if (outageSinceMs != NO_OUTAGE) {
      longestOutageMs = Math.max(longestOutageMs, nowMs - outageSinceMs);
    }
  }

  /** Returns the number of answered queries. */
  public long answeredCount() {
    return answeredQueries;
  }

  /** Returns the number of queries that were not answered for this reason. */
  public long unansweredCount(Unanswered reason) {
    return unansweredQueries.getOrDefault(reason, 0L);
  }

  /** Returns the longest time in which queries arrived but none was answered, in milliseconds. */
  public long longestOutageMs() {
    return longestOutageMs;
  }
}
