package org.fieldtrestle.worker;

import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.metrics.StartRefusal;
import org.fieldtrestle.state.RangeRecord;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.state.Versioned;

/**
 * Decides which commands the leader of a shard may give: whether a task may be started, whether a
 * task must be stopped, and whether a heartbeat may be acknowledged. No other class decides this.
 *
 * <p>Callers ask at the moment at which they act. The decisions are made from the current state and
 * not from flags that messages or periodic checks set, because a heartbeat or a placement pass may
 * come between a change of the state and the message about it. After an outage, this order of
 * events once decided whether cancelled tasks were started again.
 */
public final class CommandPolicy {
  private final ControllerContext context;
  private final String shard;

  /**
   * The shard's key in the key-value store. Its version is read for every heartbeat and every
   * placement pass.
   */
  private final String shardKey;

  private final long epoch;

  CommandPolicy(ControllerContext context, String shard, long epoch) {
    this.context = context;
    this.shard = shard;
    this.shardKey = StateKeys.shard(shard);
    this.epoch = epoch;
  }

  /** Whether heartbeats may be answered with status 200 and commands may be given at all. */
  boolean mayAcknowledge() {
    return context.mayAct() && !superseded();
  }

  private boolean superseded() {
    return context.stateCache().version(shardKey) > epoch;
  }

  /** Whether tasks of the range may be started now. A refusal is counted under its reason. */
  public boolean mayStart(TaskRange range) {
    StartRefusal refusal = startRefusal(range);
    if (refusal != null) {
      countRefusal(refusal);
    }
    return refusal == null;
  }

  /** Counts a refused start for the statistics page. */
  public void countRefusal(StartRefusal reason) {
    context.metrics().countStartRefused(reason);
  }

  /**
   * Returns why no task of the range may be started now, or {@code null} if tasks may be started.
   */
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

  /** Whether a record assigns its range to this shard in this epoch or an earlier one. */
  boolean belongsToTerm(Versioned<RangeRecord> stored) {
    return stored != null
        && stored.record().shard().equals(shard)
        && stored.record().epoch() <= epoch;
  }

  /** Whether the range's job has ended or is cancelled, in which case its tasks must be stopped. */
  public boolean mustStop(TaskRange range) {
    return isCancellationKnown(range) || hasEnded(range);
  }

  private boolean isCancellationKnown(TaskRange range) {
    return range.stopState().isCancelled() || context.cancellations().hasNotice(range.key().job());
  }

  /**
   * Whether the job of a range has ended. If the job's record was seen before, its absence proves
   * the end. If the record was never seen, its absence proves the end only after the state cache
   * has followed the state past the write of the range's record, because the two records may arrive
   * in different messages.
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
