package org.fieldtrestle.state;

import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * An accepted job that has not ended, with its ranges by index. A range of version 0 has no record
 * of its own yet: it is as the job's record names it. Changed by {@link CachedRecords} alone.
 */
public final class ActiveJob {
  private Versioned<JobRecord> job;
  private final NavigableMap<Integer, Versioned<RangeRecord>> ranges = new TreeMap<>();

  ActiveJob() {}

  /** The job's record, or null where only records of its ranges are left. */
  public Versioned<JobRecord> job() {
    return job;
  }

  /** The ranges by index; not to be changed. */
  public NavigableMap<Integer, Versioned<RangeRecord>> ranges() {
    return ranges;
  }

  /** Whether all tasks of the job are known to be done. */
  public boolean isComplete() {
    if (job == null || ranges.isEmpty()) {
      return false;
    }
    int tasks = 0;
    for (Versioned<RangeRecord> range : ranges.values()) {
      if (!range.record().isComplete()) {
        return false;
      }
      tasks += range.record().size();
    }
    return tasks == job.record().spec().tasks();
  }

  /** How many of its tasks are done. */
  public int doneTasks() {
    int done = 0;
    for (Versioned<RangeRecord> range : ranges.values()) {
      done += range.record().done().cardinality();
    }
    return done;
  }

  boolean isEmpty() {
    return job == null && ranges.isEmpty();
  }

  /** Sets the job's record; ranges that have no record of their own appear with it. */
  void putJob(JobRecord record, long version) {
    if (job == null) {
      for (int i = 0; i < record.initialRanges().size(); i++) {
        ranges.putIfAbsent(i, new Versioned<>(record.initialRange(i), 0));
      }
    }
    job = new Versioned<>(record, version);
  }

  /** Forgets the job's record, but keeps the ranges that it named. */
  void forgetJobRecord() {
    job = null;
  }

  /** Forgets the job's record, and the ranges that have no record of their own. */
  void removeJob() {
    job = null;
    ranges.values().removeIf(range -> range.version() == 0);
  }

  void putRange(int index, RangeRecord record, long version) {
    ranges.put(index, new Versioned<>(record, version));
  }

  void removeRange(int index) {
    ranges.remove(index);
  }
}
