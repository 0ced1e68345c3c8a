package org.fieldtrestle.coordination;

import org.fieldtrestle.bookkeeping.Records;
import org.fieldtrestle.bookkeeping.View;

/**
 * The one place that decides what a master may tell workers: whether a task may be started, whether
 * it has to be stopped, and whether a report may be acknowledged.
 *
 * <p>Every path asks at the moment at which it acts. Nothing is decided by flags that messages or
 * periodic checks set: between a change of the state and the message about it a report or a
 * placement pass may come first, and after an outage that order decided whether cancelled tasks
 * were started again.
 */
final class CommandPolicy {
  /** Why a task may not be started now. */
  enum StartRefusal {
    /** The lease or the followed state is too old. */
    FENCE_CLOSED,
    /** A later epoch of this master has begun. */
    SUPERSEDED,
    /** Another controller says that the job is cancelled. */
    JOB_CANCELLED,
    /** The job has ended. */
    JOB_ENDED,
    /** The job's record is not known yet, or cannot be read. */
    JOB_UNKNOWN,
    /** The range is another master's, or a later epoch's. */
    RANGE_NOT_OURS,
    /** Machines that may hold the range's tasks have not reported in this epoch. */
    MACHINES_UNRESOLVED
  }

  private final Node node;
  private final String master;

  /** The state key of the master: every report and placement pass asks for its version. */
  private final String masterKey;

  private final long epoch;

  CommandPolicy(Node node, String master, long epoch) {
    this.node = node;
    this.master = master;
    this.masterKey = Records.master(master);
    this.epoch = epoch;
  }

  /** Whether a report may be answered with 200, and commands may be given at all. */
  boolean mayAcknowledge() {
    return node.acting() && !superseded();
  }

  private boolean superseded() {
    return node.view().version(masterKey) > epoch;
  }

  /** Whether any task of the range may be started now. A refusal is counted by its reason. */
  boolean mayStart(OwnedRange range) {
    StartRefusal refusal = startRefusal(range);
    if (refusal != null) {
      refused(refusal);
    }
    return refusal == null;
  }

  /** Counts a start that was refused. */
  void refused(StartRefusal reason) {
    node.stats().startsRefused.merge(reason, 1L, Long::sum);
  }

  /** Why no task of the range may be started now; null where one may. */
  StartRefusal startRefusal(OwnedRange range) {
    if (!node.acting()) {
      return StartRefusal.FENCE_CLOSED;
    }
    if (superseded()) {
      return StartRefusal.SUPERSEDED;
    }
    if (isSaidToBeCancelled(range)) {
      return StartRefusal.JOB_CANCELLED;
    }
    if (hasEnded(range)) {
      return StartRefusal.JOB_ENDED;
    }
    if (node.view().job(range.key.job()) == null) {
      return StartRefusal.JOB_UNKNOWN;
    }
    return isOurs(node.view().range(range.key)) ? null : StartRefusal.RANGE_NOT_OURS;
  }

  /** Whether a record shows a range to be this master's, as of this epoch. */
  boolean isOurs(View.Kept<Records.Range> kept) {
    return kept != null && kept.record().master().equals(master) && kept.record().epoch() <= epoch;
  }

  /** Whether nothing of the range is of use any more, so that its tasks have to be stopped. */
  boolean mustStop(OwnedRange range) {
    return isSaidToBeCancelled(range) || hasEnded(range);
  }

  private boolean isSaidToBeCancelled(OwnedRange range) {
    return range.cancelled || node.cancellations().wasHeard(range.key.job());
  }

  /**
   * Whether the job of a range has ended. Once its record was seen, its absence proves that,
   * whoever removed it. Where it was never seen, only what has been followed past the range's own
   * writing does: the two may come in different messages.
   */
  boolean hasEnded(OwnedRange range) {
    if (range.ended) {
      return true;
    }
    String job = range.key.job();
    return node.view().job(job) == null
        && node.view().version(Records.job(job)) == 0
        && (range.spec != null || node.view().followed() >= range.version);
  }
}
