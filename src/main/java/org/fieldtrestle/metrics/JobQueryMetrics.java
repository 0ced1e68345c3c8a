package org.fieldtrestle.metrics;

import java.util.EnumMap;
import java.util.Map;

/** How many job queries were answered here, and why others were not. */
public final class JobQueryMetrics {
  /** Why a user was told to retry a query. */
  public enum Unanswered {
    /** The key-value store has not answered this controller for some time. */
    STATE_SERVICE_SILENT,
    /** The state cache did not reach the revision of the query in time. */
    NOT_FOLLOWED_IN_TIME,
    /** The record of the finished job could not be read. */
    END_NOT_READ,
    /** The answer was not known while the user still waited for it. */
    LATE,
    /** The job's record cannot be read by this version. */
    RECORD_UNREADABLE
  }

  private static final long NOT_FAILING = -1;

  private final Map<Unanswered, Long> unanswered = new EnumMap<>(Unanswered.class);
  private long answered;
  private long longestSpellMs;

  /** When the first query since the last answered one was not answered. */
  private long failingSinceMs = NOT_FAILING;

  /** A query was answered at this time of the reactor. */
  public void answered(long nowMs) {
    answered++;
    extendSpell(nowMs);
    failingSinceMs = NOT_FAILING;
  }

  /** A query was not answered at this time of the reactor. */
  public void unanswered(Unanswered reason, long nowMs) {
    unanswered.merge(reason, 1L, Long::sum);
    if (failingSinceMs == NOT_FAILING) {
      failingSinceMs = nowMs;
    }
    extendSpell(nowMs);
  }

  private void extendSpell(long nowMs) {
    if (failingSinceMs != NOT_FAILING) {
      longestSpellMs = Math.max(longestSpellMs, nowMs - failingSinceMs);
    }
  }

  /** Queries that were answered. */
  public long answered() {
    return answered;
  }

  /** Queries that were not answered for this reason. */
  public long unanswered(Unanswered reason) {
    return unanswered.getOrDefault(reason, 0L);
  }

  /** The longest time in which queries arrived and none was answered. */
  public long longestSpellMs() {
    return longestSpellMs;
  }
}
