package org.fieldtrestle.worker;

import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.metrics.StartRefusal;
import org.fieldtrestle.state.RangeRecord;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.state.Versioned;

/**
 * Decides which commands a shard may give: whether a task may be started, whether it has to be
 * stopped, and whether a heartbeat may be acknowledged. Nothing else decides that.
 *
 * <p>Every path asks at the moment at which it acts, and nothing is decided by flags that messages
 * or periodic checks set: a heartbeat or a placement pass may come between a change of the state
 * and the message about it, and after an outage that order once decided whether cancelled tasks
 * were started again.
 */
public final class CommandPolicy {
  private final ControllerContext context;
  private final String shard;

  /** The shard's key in the store: every heartbeat and placement pass asks for its version. */
  private final String shardKey;

  private final long epoch;

  CommandPolicy(ControllerContext context, String shard, long epoch) {
    this.context = context;
    this.shard = shard;
    this.shardKey = StateKeys.shard(shard);
    this.epoch = epoch;
  }

  /** Whether a heartbeat may be answered with 200, and commands may be given at all. */
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
      countRefusal(refusal);
    }
    return refusal == null;
  }

  /** Counts a start that was refused, for the statistics page. */
  public void countRefusal(StartRefusal reason) {
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
    if (isCancellationKnown(range)) {
      return StartRefusal.JOB_CANCELLED;
    }
    if (hasEnded(range)) {
      return StartRefusal.JOB_ENDED;
    }
    if (context.stateCache().job(range.key().job()) == null) {
      return StartRefusal.JOB_UNKNOWN;
    }
    return belongsToTerm(context.stateCache().range(range.key()))
        ? null
        : StartRefusal.RANGE_NOT_OURS;
  }

  /** Whether a record shows a range to be this shard's, as of this epoch. */
  boolean belongsToTerm(Versioned<RangeRecord> kept) {
    return kept != null && kept.record().shard().equals(shard) && kept.record().epoch() <= epoch;
  }

  /** Whether the range's job has ended or is cancelled, so that its tasks have to be stopped. */
  public boolean mustStop(TaskRange range) {
    return isCancellationKnown(range) || hasEnded(range);
  }

  private boolean isCancellationKnown(TaskRange range) {
    return range.stopState().isCancelled() || context.cancellations().hasNotice(range.key().job());
  }

  /**
   * Whether the job of a range has ended. Once its record was seen, its absence proves that. Where
   * it was never seen, its absence proves that only after the state was followed past the write of
   * the range's record: the two records may come in different messages.
   */
  boolean hasEnded(TaskRange range) {
    if (range.stopState().isEnded()) {
      return true;
    }
    String job = range.key().job();
    return context.stateCache().job(job) == null
        && context.stateCache().version(StateKeys.job(job)) == 0
        && (range.spec() != null || context.stateCache().appliedRevision() >= range.version());
  }
}
