package org.fieldtrestle.leadership;

import java.util.ArrayDeque;
import java.util.Deque;
import org.fieldtrestle.state.BoundedCache;
import org.fieldtrestle.state.StateCache;

/**
 * Cancellations that the state cache may not show yet: those that other controllers have reported,
 * and counts for operators.
 *
 * <p>A cancellation that this controller has committed itself needs no entry: its commit has
 * removed the job's record from the {@link StateCache}. Notices of other controllers only make
 * tasks stop sooner. The oldest may be forgotten, as the leadership fence bounds the time until a
 * cancellation takes effect without them.
 */
public final class CancellationNotices {
  private static final int MAX_NOTICES = 10_000;
  private static final int MAX_UNAPPLIED = 10_000;

  private final BoundedCache<String, Boolean> reportedJobs = new BoundedCache<>(MAX_NOTICES);

  /** Revisions of cancellations that were committed here and that the watch has not reached. */
  private final Deque<Long> unappliedRevisions = new ArrayDeque<>();

  private long appliedRevision = -1;
  private long confirmedCount;
  private long heardCount;

  /** This controller's own commit has cancelled a job. */
  public void confirmed(long revision) {
    confirmedCount++;
    if (revision > appliedRevision && unappliedRevisions.size() < MAX_UNAPPLIED) {
      unappliedRevisions.add(revision);
    }
  }

  /** Another controller has reported that a job is cancelled. */
  public void heard(String job) {
    heardCount++;
    reportedJobs.put(job, true);
  }

  /** The watch has delivered everything up to a revision. */
  public void appliedRevision(long revision) {
    appliedRevision = revision;
    unappliedRevisions.removeIf(committed -> committed <= revision);
  }

  /** Whether another controller has reported that the job is cancelled. */
  public boolean wasHeard(String job) {
    return reportedJobs.get(job) != null;
  }

  /** How many confirmed cancellations the watch has not delivered yet, up to a bound. */
  public int unappliedCount() {
    return unappliedRevisions.size();
  }

  /** How many cancellations were confirmed here since the start. */
  public long confirmedCount() {
    return confirmedCount;
  }

  /** How many notices other controllers have sent since the start, repeats included. */
  public long heardCount() {
    return heardCount;
  }
}
