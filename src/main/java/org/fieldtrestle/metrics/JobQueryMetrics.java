package org.fieldtrestle.metrics;

import java.util.EnumMap;
import java.util.Map;

/** How many questions of users were answered here, and why others were not. */
public final class JobQueryMetrics {
  /** Why a question got no answer of use, but was told to come back. */
  public enum Unanswered {
    /** The state service has not answered this controller for some time. */
    STATE_SERVICE_SILENT,
    /** What was written before the question was not known here in time. */
    NOT_FOLLOWED_IN_TIME,
    /** How the job ended could not be read. */
    END_NOT_READ,
    /** The answer was not there while the user still waited for it. */
    LATE,
    /** The job's record cannot be read by this version. */
    RECORD_UNREADABLE
  }

  private final Map<Unanswered, Long> unanswered = new EnumMap<>(Unanswered.class);
  private long answered;
  private long longestSpellMs;
  private long failingSince = -1;

  public void answered(long now) {
    answered++;
    endSpell(now);
    failingSince = -1;
  }

  public void unanswered(Unanswered reason, long now) {
    unanswered.merge(reason, 1L, Long::sum);
    if (failingSince < 0) {
      failingSince = now;
    }
    endSpell(now);
  }

  private void endSpell(long now) {
    if (failingSince >= 0) {
      longestSpellMs = Math.max(longestSpellMs, now - failingSince);
    }
  }

  /** Questions that were answered. */
  public long answered() {
    return answered;
  }

  /** Questions that were not answered for this reason. */
  public long unanswered(Unanswered reason) {
    return unanswered.getOrDefault(reason, 0L);
  }

  /** The longest time for which questions came and none of them was answered. */
  public long longestSpellMs() {
    return longestSpellMs;
  }
}
