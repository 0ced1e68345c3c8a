package org.fieldtrestle.worker;

/** Whether a range's record is being written, and when its progress is to be written next. */
final class WriteSchedule {
  private static final long NOT_SCHEDULED = -1;

  private boolean inProgress;
  private long atMs = NOT_SCHEDULED;

  /** A write is under way; no other may begin. */
  void begin() {
    inProgress = true;
  }

  /** The write is over, whatever came of it. */
  void end() {
    inProgress = false;
  }

  boolean isInProgress() {
    return inProgress;
  }

  /** Progress is to be written at this time, or earlier where that was scheduled before. */
  void scheduleAt(long timeMs) {
    if (atMs == NOT_SCHEDULED) {
      atMs = timeMs;
    }
  }

  /** The progress so far is part of a write that begins now. */
  void cancelScheduled() {
    atMs = NOT_SCHEDULED;
  }

  boolean isDue(long nowMs) {
    return atMs != NOT_SCHEDULED && !inProgress && atMs <= nowMs;
  }
}
