package org.fieldtrestle.leadership;

import java.util.ArrayDeque;
import java.util.Deque;
import org.fieldtrestle.state.BoundedCache;
import org.fieldtrestle.state.StateCache;

/**
 * What is known of cancellations ahead of the followed state, for decisions and for those on call.
 *
 * <p>A cancellation that this controller has confirmed itself needs no memory here: its commit has
 * removed the job's record from the {@link StateCache}. What other controllers say is a hint that
 * makes tasks stop sooner; the oldest hints may be forgotten, as the fence bounds what happens
 * without them.
 */
public final class CancellationNotices {
  /** Hints of other controllers that are remembered. */
  private static final int MAX_HEARD = 10_000;

  /** Confirmed cancellations that are counted as not followed yet, at most. */
  private static final int MAX_COUNTED = 10_000;

  private final BoundedCache<String, Boolean> heard = new BoundedCache<>(MAX_HEARD);

  /** The revisions of cancellations that were committed here and are not followed yet. */
  private final Deque<Long> notFollowed = new ArrayDeque<>();

  private long followed = -1;
  private long confirmedCount;
  private long heardCount;

  /** This controller's own commit has cancelled a job. */
  public void confirmed(long revision) {
    confirmedCount++;
    if (revision > followed && notFollowed.size() < MAX_COUNTED) {
      notFollowed.add(revision);
    }
  }

  /** Another controller says that a job is cancelled. */
  public void heard(String job) {
    heardCount++;
    heard.put(job, true);
  }

  /** The state has been followed up to a revision. */
  public void appliedRevision(long revision) {
    followed = revision;
    notFollowed.removeIf(committed -> committed <= revision);
  }

  /** Whether another controller has said that the job is cancelled. */
  public boolean wasHeard(String job) {
    return heard.get(job) != null;
  }

  /** How many were confirmed here that the followed state does not show yet. */
  public int notFollowedCount() {
    return notFollowed.size();
  }

  /** How many were confirmed here since the start. */
  public long confirmedCount() {
    return confirmedCount;
  }

  /** How many others have told of since the start, repeats included. */
  public long heardCount() {
    return heardCount;
  }
}
