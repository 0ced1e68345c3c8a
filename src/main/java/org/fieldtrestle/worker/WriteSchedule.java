package org.fieldtrestle.worker;

/** Whether a range's record is being written, and when its progress is to be written next. */
final class WriteSchedule {
  private static final long NOT_SCHEDULED = -1;

  private boolean inProgress;
  private long scheduledAtMs = NOT_SCHEDULED;

  /** Called when a write begins; no other write may begin before it has ended. */
  void begin() {
    inProgress = true;
  }

  /** Called when the write has ended, with any outcome. */
  void end() {
    inProgress = false;
  }

  boolean isInProgress() {
    return inProgress;
  }

  /** Schedules a write of the progress at this time, unless one is already scheduled. */
  void scheduleAt(long timeMs) {
    if (scheduledAtMs == NOT_SCHEDULED) {
      scheduledAtMs = timeMs;
    }
  }

  /** Cancels the scheduled write. Called when a write begins that includes the progress so far. */
  void cancelScheduled() {
    scheduledAtMs = NOT_SCHEDULED;
  }

  boolean isDue(long nowMs) {
    return scheduledAtMs != NOT_SCHEDULED && !inProgress && scheduledAtMs <= nowMs;
  }
}
