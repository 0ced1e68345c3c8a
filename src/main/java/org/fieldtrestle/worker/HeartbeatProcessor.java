package org.fieldtrestle.worker;

import java.util.List;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.Heartbeat;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.WorkerCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Processes the heartbeats of workers: refuses outdated ones, applies the others, and answers with
 * commands. An answer renews the worker's lease.
 */
public final class HeartbeatProcessor {
  /** How a heartbeat was processed. */
  public enum Result {
    /** The heartbeat must not be answered with status 200, and its content does not count. */
    REFUSED,
    /** The heartbeat was accepted and has changed nothing that matters to placement. */
    UNCHANGED,
    /** The heartbeat was accepted, and resources on the worker may have become free. */
    CHANGED
  }

  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatProcessor.class);

  /**
   * A task is stopped at once if its remaining run time exceeds this multiple of the spot notice.
   */
  private static final double MAX_REMAINING_TIME_PER_NOTICE = 1.5;

  /**
   * Fraction of the spot notice that a task gets as its grace period for saving its work; the rest
   * is left for delivering the commands.
   */
  private static final double GRACE_PERIOD_PER_NOTICE = 0.8;

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final Reconciler reconciler;
  private final TaskOutcomes outcomes;
  private final WorkerCommands commands;
  private final ShardEvents events;

  /** Creates a processor for the heartbeats of these workers in this term. */
  public HeartbeatProcessor(
      ControllerContext context,
      LeadershipTerm term,
      WorkerRegistry workers,
      Reconciler reconciler,
      TaskOutcomes outcomes,
      WorkerCommands commands,
      ShardEvents events) {
    this.context = context;
    this.term = term;
    this.workers = workers;
    this.reconciler = reconciler;
    this.outcomes = outcomes;
    this.commands = commands;
    this.events = events;
  }

  /** Processes a heartbeat that was received from the worker. */
  public Result process(Worker worker, Heartbeat heartbeat) {
    long nowMs = context.nowMs();
    if (heartbeat.fencingToken() > worker.fencingToken()) {
      LOG.atWarn()
          .addKeyValue("worker", worker.id())
          .addKeyValue("seenToken", heartbeat.fencingToken())
          .addKeyValue("token", worker.fencingToken())
          .log("worker has seen a higher fencing token");
      if (heartbeat.fencingToken() >= term.firstTokenOfNextEpoch()) {
        return Result.REFUSED;
      }
      worker.fencing().adopt(heartbeat.fencingToken());
    }
    WorkerConnection connection = worker.connection();
    if (connection.order().isOutdated(heartbeat, nowMs - connection.lastHeartbeatAtMs())) {
      // After an answer of 200, this controller would count the lease as renewed and the worker
      // would not.
      return Result.REFUSED;
    }
    worker.fencing().heartbeatReceived(heartbeat.sequence());
    boolean changed = apply(worker, heartbeat);
    checkResponsiveness(worker, heartbeat.sequence(), nowMs);
    connection.order().acceptHeartbeat(heartbeat.sequence());
    if (worker.markUpReported()) {
      LOG.debug("machine {} is up after {} s", worker.id(), worker.ageMs(nowMs) / 1000);
      events.workerUp(worker.id());
    }
    return changed ? Result.CHANGED : Result.UNCHANGED;
  }

  /**
   * Returns the commands for the answer to a heartbeat, which has to carry the worker's fencing
   * token as it is after this call. The answer renews the worker's lease.
   */
  public List<WorkerCommand> assembleAnswer(Worker worker) {
    worker.connection().renewLease(context.nowMs());
    if (!workers.mayReceiveCommands(worker)) {
      return List.of();
    }
    List<WorkerCommand> assembled = commands.assembleFor(worker);
    for (WorkerCommand command : assembled) {
      TaskAttempt attempt = worker.attempt(command.task());
      if (attempt != null && command instanceof WorkerCommand.Start) {
        HeartbeatOrder order = worker.connection().order();
        attempt.expectReportAfter(order.sequence());
        worker
            .fencing()
            .recordStartInAnswer(
                attempt.task(), attempt.attemptNumber(), order.heartbeatSequence());
      }
    }
    if (worker.fencing().raiseIfRequested()) {
      context.metrics().countTokenRaisedBeforeClear();
    }
    return assembled;
  }

  /**
   * Applies a heartbeat, or the heartbeat that is contained in the answer to a direct command.
   *
   * @return whether anything that matters to placement has changed
   */
  boolean apply(Worker worker, Heartbeat heartbeat) {
    long nowMs = context.nowMs();
    HeartbeatOrder order = worker.connection().order();
    if (!order.isNewer(heartbeat)) {
      return false;
    }
    if (worker.isLeaseExpired() && order.isOfIncarnation(heartbeat)) {
      return false; // was sent before the lease expired and arrived late
    }
    boolean changed = worker.isLeaseExpired();
    worker.connection().acceptMessage(heartbeat, nowMs);
    if (heartbeat.spotNoticeS() >= 0) {
      applySpotNotice(worker, heartbeat.spotNoticeS());
    }
    if (!order.isOfIncarnation(heartbeat)) {
      changed = true;
      beginIncarnation(worker, heartbeat.incarnation(), nowMs);
    }
    if (heartbeat.fencingToken() < term.firstToken()) {
      return false; // the worker may still accept commands of an earlier term
    }
    if (!worker.isReconciled()) {
      workers.markReconciled(worker);
      changed = true;
      LOG.debug("worker {} is reconciled, {} tasks", worker.id(), heartbeat.tasks().size());
    }
    changed |= reconciler.reconcile(worker, heartbeat);
    if (!worker.isEmpty()) {
      worker.markBusy(nowMs);
    }
    if (changed) {
      events.requestPlacementPass();
    }
    return changed;
  }

  private void beginIncarnation(Worker worker, long incarnation, long nowMs) {
    HeartbeatOrder order = worker.connection().order();
    boolean hadIncarnation = order.hasIncarnation();
    order.beginIncarnation(incarnation);
    worker.fencing().beginIncarnation();
    if (hadIncarnation) {
      LOG.atInfo()
          .addKeyValue("worker", worker.id())
          .addKeyValue("incarnation", incarnation)
          .log("worker begins a new incarnation");
      outcomes.workerLost(worker, "its lease ran out");
    }
    // The lease of an incarnation runs from its beginning, which may be this moment, whichever
    // controller has answered the worker. Tasks that a direct command starts in this incarnation
    // must not be counted as lost with the previous one.
    worker.connection().renewLease(nowMs);
  }

  /**
   * Determines whether the worker receives the answers to its heartbeats, which the heartbeats
   * alone don't prove. If two heartbeats in a row lack the tasks that the answers before them
   * started, the worker is sent a higher fencing token and gets no more tasks until it reports that
   * token. A worker sends a heartbeat only after it has received the previous answer or has given
   * up waiting for it.
   */
  private void checkResponsiveness(Worker worker, long sequence, long nowMs) {
    boolean anyMissing = false;
    boolean anyReported = false;
    for (TaskAttempt attempt : worker.attempts()) {
      if (attempt.isReportExpectedIn(sequence)) {
        anyMissing |= attempt.state() == TaskAttempt.State.STARTING;
        anyReported |= attempt.state() != TaskAttempt.State.STARTING;
        attempt.stopExpectingReport();
      }
    }
    if (worker.isUnresponsive()) {
      if (worker.fencing().isRequiredTokenSeen()) {
        worker.connection().markResponsive();
        LOG.atInfo().addKeyValue("worker", worker.id()).log("worker is responsive again");
        events.requestPlacementPass();
      }
    } else if (anyReported) {
      worker.connection().markResponsive();
    } else if (anyMissing && worker.connection().countUnacknowledgedAnswer(nowMs)) {
      LOG.atWarn().addKeyValue("worker", worker.id()).log("worker is unresponsive");
    }
  }

  private void applySpotNotice(Worker worker, double noticeS) {
    long nowMs = context.nowMs();
    worker.recordSpotNotice(nowMs + Math.round(noticeS * 1000));
    if (!worker.isDraining()) {
      worker.drain("spot notice");
      LOG.atInfo()
          .addKeyValue("worker", worker.id())
          .addKeyValue("inS", noticeS)
          .log("spot notice");
    }
    for (TaskAttempt attempt : worker.copyOfAttempts()) {
      if (attempt.isLive()
          && !attempt.isStopping()
          && attempt.range() != null
          && attempt.range().spec() != null) {
        JobSpec spec = attempt.range().spec();
        double remainingS = attempt.remainingS(nowMs, spec.estimateS());
        if (!attempt.hasRun() || remainingS > MAX_REMAINING_TIME_PER_NOTICE * noticeS) {
          boolean canSave = spec.hasCheckpoints() && spec.saveTimeS() < noticeS;
          commands.stop(
              attempt, canSave ? Math.max(spec.saveTimeS(), noticeS * GRACE_PERIOD_PER_NOTICE) : 0);
        }
      }
    }
  }
}
