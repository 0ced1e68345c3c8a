package org.fieldtrestle.leadership;

import java.util.ArrayDeque;
import java.util.Deque;
import org.fieldtrestle.state.BoundedCache;
import org.fieldtrestle.state.StateCache;

/**
 * Keeps the cancellations that other controllers have reported and that the state cache may not
 * show yet, and counts cancellations for the statistics page.
 *
 * <p>A cancellation that this controller has committed itself needs no notice, because the commit
 * has already removed the job's record from the {@link StateCache}. Notices of other controllers
 * only make tasks stop sooner. Old notices may be evicted, because the leadership fence bounds the
 * time until a cancellation takes effect without a notice.
 */
public final class CancellationNotices {
  private static final int MAX_NOTICES = 10_000;
  private static final int MAX_UNAPPLIED = 10_000;

  private final BoundedCache<String, Boolean> reportedJobs = new BoundedCache<>(MAX_NOTICES);

  /** Revisions of this controller's own cancellations that the watch has not delivered yet. */
  private final Deque<Long> unappliedRevisions = new ArrayDeque<>();

  private long appliedRevision = -1;
  private long confirmedCount;
  private long receivedNoticeCount;

  /** Called when a commit of this controller has cancelled a job. */
  public void cancellationConfirmed(long revision) {
    confirmedCount++;
    if (revision > appliedRevision && unappliedRevisions.size() < MAX_UNAPPLIED) {
      unappliedRevisions.add(revision);
    }
  }

  /** Called when another controller has reported that a job is cancelled. */
  public void noticeReceived(String job) {
    receivedNoticeCount++;
    reportedJobs.put(job, true);
  }

  /** Called when the watch has delivered all changes up to a revision. */
  public void revisionApplied(long revision) {
    appliedRevision = revision;
    unappliedRevisions.removeIf(committed -> committed <= revision);
  }

  /**
   * Returns whether another controller has reported that the job is cancelled; {@code false} also
   * if the notice has been evicted.
   */
  public boolean hasNotice(String job) {
    return reportedJobs.get(job) != null;
  }

  /** Returns how many confirmed cancellations the watch has not delivered yet, up to a bound. */
  public int unappliedCount() {
    return unappliedRevisions.size();
  }

  /** Returns how many cancellations this controller has confirmed since it started. */
  public long confirmedCount() {
    return confirmedCount;
  }

  /** Returns how many notices this controller has received since it started, including repeats. */
  public long receivedNoticeCount() {
    return receivedNoticeCount;
  }
}
