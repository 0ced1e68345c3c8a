package org.fieldtrestle.state;

import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * An accepted job that has not ended, with its task ranges by index. A range of version 0 has no
 * record of its own yet and is as the job's record describes it. Only {@link CachedRecords}
 * modifies instances.
 */
public final class ActiveJob {
  private Versioned<JobRecord> job;
  private final NavigableMap<Integer, Versioned<RangeRecord>> ranges = new TreeMap<>();

  ActiveJob() {}

  /** Returns the job's record; {@code null} if only task ranges of the job are left. */
  public Versioned<JobRecord> job() {
    return job;
  }

  /** Returns the task ranges by index; the map must not be modified. */
  public NavigableMap<Integer, Versioned<RangeRecord>> ranges() {
    return ranges;
  }

  /** Returns whether all tasks of the job are known to be done. */
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

  /** Returns how many tasks of the job are done. */
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

  /** Sets the job's record; the first one adds the ranges that have no record of their own. */
  void putJob(JobRecord record, long version) {
    if (job == null) {
      for (int i = 0; i < record.initialRanges().size(); i++) {
        ranges.putIfAbsent(i, new Versioned<>(record.initialRange(i), 0));
      }
    }
    job = new Versioned<>(record, version);
  }

  /** Removes the job's record, but keeps the ranges that it named. */
  void forgetJobRecord() {
    job = null;
  }

  /** Removes the job's record and the ranges that have no record of their own. */
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
