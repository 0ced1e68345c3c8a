package org.fieldtrestle.worker;

import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.metrics.StartRefusal;
import org.fieldtrestle.state.Records;
import org.fieldtrestle.state.StateCache;

/**
 * The one place that decides what a shard may tell workers: whether a task may be started, whether
 * it has to be stopped, and whether a report may be acknowledged.
 *
 * <p>Every path asks at the moment at which it acts. Nothing is decided by flags that messages or
 * periodic checks set: between a change of the state and the message about it a report or a
 * placement pass may come first, and after an outage that order decided whether cancelled tasks
 * were started again.
 */
public final class CommandPolicy {
  private final ControllerContext context;
  private final String shard;

  /** The state key of the shard: every report and placement pass asks for its version. */
  private final String shardKey;

  private final long epoch;

  CommandPolicy(ControllerContext context, String shard, long epoch) {
    this.context = context;
    this.shard = shard;
    this.shardKey = Records.shard(shard);
    this.epoch = epoch;
  }

  /** Whether a report may be answered with 200, and commands may be given at all. */
  boolean mayAcknowledge() {
    return context.mayAct() && !superseded();
  }

  private boolean superseded() {
    return context.stateCache().version(shardKey) > epoch;
  }

  /** Whether any task of the range may be started now. A refusal is counted by its reason. */
  public boolean mayStart(TaskRange range) {
    StartRefusal refusal = startRefusal(range);
    if (refusal != null) {
      refused(refusal);
    }
    return refusal == null;
  }

  /** Counts a start that was refused. */
  public void refused(StartRefusal reason) {
    context.metrics().countStartRefused(reason);
  }

  /** Why no task of the range may be started now; null where one may. */
  StartRefusal startRefusal(TaskRange range) {
    if (!context.mayAct()) {
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
    if (context.stateCache().job(range.key.job()) == null) {
      return StartRefusal.JOB_UNKNOWN;
    }
    return isOurs(context.stateCache().range(range.key)) ? null : StartRefusal.RANGE_NOT_OURS;
  }

  /** Whether a record shows a range to be this shard's, as of this epoch. */
  boolean isOurs(StateCache.Versioned<Records.Range> kept) {
    return kept != null && kept.record().shard().equals(shard) && kept.record().epoch() <= epoch;
  }

  /** Whether nothing of the range is of use any more, so that its tasks have to be stopped. */
  public boolean mustStop(TaskRange range) {
    return isSaidToBeCancelled(range) || hasEnded(range);
  }

  private boolean isSaidToBeCancelled(TaskRange range) {
    return range.cancelled || context.cancellations().wasHeard(range.key.job());
  }

  /**
   * Whether the job of a range has ended. Once its record was seen, its absence proves that,
   * whoever removed it. Where it was never seen, only what has been followed past the range's own
   * writing does: the two may come in different messages.
   */
  boolean hasEnded(TaskRange range) {
    if (range.ended) {
      return true;
    }
    String job = range.key.job();
    return context.stateCache().job(job) == null
        && context.stateCache().version(Records.job(job)) == 0
        && (range.spec != null || context.stateCache().appliedRevision() >= range.version);
  }
}
