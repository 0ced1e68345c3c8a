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
 * tokens and attempt numbers that follow from the epoch, and the writes that depend on it.
 */
public final class LeadershipTerm {
  /**
   * Fencing tokens and attempts are the epoch and a count within it: a later epoch's are higher
   * than all of an earlier one's, without any write.
   */
  private static final int EPOCH_BITS = 24;

  /** Watch intervals after which a write of unknown outcome is decided anew. */
  private static final int UNKNOWN_OUTCOME_RETRY_INTERVALS = 3;

  private final ControllerContext context;
  private final String shard;
  private final long epoch;
  private final boolean formerLeaderMayAct;
  private final CommandPolicy policy;
  private boolean active;
  private boolean over;
  private long attempts;

  /**
   * A term that begins with this epoch; nothing is led before {@link #activate}.
   *
   * @param formerLeaderMayAct whether the leader before may not know yet that its term has ended
   */
  public LeadershipTerm(
      ControllerContext context, String shard, long epoch, boolean formerLeaderMayAct) {
    this.context = context;
    this.shard = shard;
    this.epoch = epoch;
    this.formerLeaderMayAct = formerLeaderMayAct;
    this.policy = new CommandPolicy(context, shard, epoch);
  }

  /** The name of the shard. */
  public String shard() {
    return shard;
  }

  /** The version of the shard's key by which this term began. */
  public long epoch() {
    return epoch;
  }

  /** Decides which commands may be given in this term. */
  public CommandPolicy policy() {
    return policy;
  }

  /** Everything written before the term is known, so that the shard may be led. */
  public void activate() {
    active = true;
  }

  /** Another controller leads the shard now, or none does. */
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

  /** The lowest fencing token of this term. */
  public long firstToken() {
    return epoch << EPOCH_BITS;
  }

  /** The lowest fencing token of the term after this one. */
  public long firstTokenOfNextEpoch() {
    return (epoch + 1) << EPOCH_BITS;
  }

  /** A number for a start of a task that no other start of it has. */
  public long nextAttempt() {
    return firstToken() + ++attempts;
  }

  /** For how long the leader before may go on, unaware of the end of its term, in ms. */
  public long formerLeaderGraceMs() {
    return formerLeaderMayAct ? context.membership().fence().usableMs() : 0;
  }

  /**
   * The time, in ms, up to which no other controller can have acted as this shard: the present, or
   * the age of the followed state where that is older.
   */
  long soleLeaderUntilMs() {
    return Math.min(context.nowMs(), context.stateCache().freshAsOfMs());
  }

  /** The condition that makes every write of this term fail once the next has begun. */
  public KeyValueProtocol.Condition guard() {
    return new KeyValueProtocol.Condition(StateKeys.shard(shard), epoch);
  }

  /**
   * Commits changes under this term's guard. Where that fails or its outcome is unknown, the
   * callback comes once the state cache has followed that, or after a while: the caller looks at
   * the state again and decides anew.
   *
   * @param done is given whether the changes are known to be committed
   */
  public void write(
      List<KeyValueProtocol.Condition> conditions,
      List<KeyValueProtocol.Change> changes,
      Consumer<Boolean> done) {
    List<KeyValueProtocol.Condition> all = new ArrayList<>(conditions);
    all.add(guard());
    context
        .store()
        .commit(
            new Transaction(all, changes),
            result -> {
              if (result instanceof CommitResult.Committed committed) {
                context.stateCache().applyCommit(changes, committed.revision());
                // The cache tells the shard by message; what depends on it runs after that.
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
