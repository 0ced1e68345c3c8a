package org.fieldtrestle.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.state.CommitResult;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.state.Transaction;

/**
 * One term of this controller as the leader of a shard: the shard's name, its epoch, the fencing
 * tokens and attempt numbers that are derived from the epoch, and the writes that depend on it.
 */
public final class LeadershipTerm {
  /**
   * Position of the epoch in fencing tokens and attempt numbers. The bits below count within the
   * epoch, so that all values of a later epoch are higher than those of an earlier epoch, without
   * any write.
   */
  private static final int EPOCH_SHIFT = 24;

  /**
   * Watch intervals after which a write of unknown outcome is reported to its caller as not
   * committed.
   */
  private static final int UNKNOWN_OUTCOME_RETRY_INTERVALS = 3;

  private final ControllerContext context;
  private final String shard;
  private final long epoch;
  private final boolean formerLeaderMayAct;
  private final CommandPolicy policy;
  private boolean active;
  private boolean over;
  private long attemptCount;

  /**
   * Creates a term that begins with this epoch. The shard is not led before {@link #activate}.
   *
   * @param formerLeaderMayAct whether the former leader may still be unaware that its term has
   *     ended
   */
  public LeadershipTerm(
      ControllerContext context, String shard, long epoch, boolean formerLeaderMayAct) {
    this.context = context;
    this.shard = shard;
    this.epoch = epoch;
    this.formerLeaderMayAct = formerLeaderMayAct;
    this.policy = new CommandPolicy(context, shard, epoch);
  }

  /** Returns the name of the shard. */
  public String shard() {
    return shard;
  }

  /** Returns the epoch: the version of the shard's key with which this term began. */
  public long epoch() {
    return epoch;
  }

  /** Returns the policy that decides which commands may be given in this term. */
  public CommandPolicy policy() {
    return policy;
  }

  /**
   * Called when everything that was written before the term is known, so that the shard may be led.
   */
  public void activate() {
    active = true;
  }

  /** Called when the term ends because another controller or no controller leads the shard. */
  public void end() {
    over = true;
  }

  /** Whether {@link #activate} was called. */
  public boolean isActive() {
    return active;
  }

  /** Whether the term has ended. */
  public boolean isOver() {
    return over;
  }

  /** Whether this controller may answer the shard's workers and give them commands now. */
  public boolean isLeading() {
    return active && !over && policy.mayAcknowledge();
  }

  /** Returns the lowest fencing token of this term. */
  public long firstToken() {
    return epoch << EPOCH_SHIFT;
  }

  /** Returns the lowest fencing token of the next epoch. */
  public long firstTokenOfNextEpoch() {
    return (epoch + 1) << EPOCH_SHIFT;
  }

  /** Returns an attempt number that no other start of the same task has. */
  public long nextAttemptNumber() {
    return firstToken() + ++attemptCount;
  }

  /**
   * Returns for how long the former leader may continue to act, unaware of the end of its term, in
   * milliseconds.
   */
  public long formerLeaderGraceMs() {
    return formerLeaderMayAct ? context.membership().fence().usableMs() : 0;
  }

  /**
   * Returns the time, in milliseconds, up to which no other controller can have acted as the leader
   * of this shard: the current time, or the time up to which the state is known if that is earlier.
   */
  long soleLeaderUntilMs() {
    return Math.min(context.nowMs(), context.stateCache().freshAsOfMs());
  }

  /**
   * Returns the condition that makes every write of this term fail once the next term has begun.
   */
  public KeyValueProtocol.Condition guard() {
    return new KeyValueProtocol.Condition(StateKeys.shard(shard), epoch);
  }

  /**
   * Commits changes under the condition of {@link #guard}. If the commit fails or its outcome is
   * unknown, {@code done} is called once the state cache has followed the conflicting write, or
   * after a delay. The caller then reads the state again and makes a new decision.
   *
   * @param done receives whether the changes are known to be committed
   */
  public void write(
      List<KeyValueProtocol.Condition> conditions,
      List<KeyValueProtocol.Change> changes,
      Consumer<Boolean> done) {
    List<KeyValueProtocol.Condition> allConditions = new ArrayList<>(conditions);
    allConditions.add(guard());
    context
        .store()
        .commit(
            new Transaction(allConditions, changes),
            result -> {
              if (result instanceof CommitResult.Committed committed) {
                context.stateCache().applyCommit(changes, committed.revision());
                // The state cache notifies the shard by a message; the callback has to run after
                // that message.
                context.reactor().execute(() -> done.accept(true));
              } else if (result instanceof CommitResult.Conflict conflict) {
                retryAfter(conflict, done);
              } else {
                context
                    .reactor()
                    .schedule(
                        context.stateCache().watchIntervalMs() * UNKNOWN_OUTCOME_RETRY_INTERVALS,
                        () -> done.accept(false));
              }
            });
  }

  private void retryAfter(CommitResult.Conflict conflict, Consumer<Boolean> done) {
    context
        .stateCache()
        .awaitRevision(
            conflict.revision(),
            context.heartbeatIntervalsMs(1),
            seen ->
                context
                    .reactor()
                    .schedule(
                        seen ? 0 : context.stateCache().watchIntervalMs(),
                        () -> done.accept(false)));
  }
}
