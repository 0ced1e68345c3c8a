package org.fieldtrestle.worker;

import java.util.List;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.Heartbeat;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.WorkerCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Processes workers' heartbeats: refuses those that are outdated, applies the others, and answers
 * with commands. An answer renews the worker's lease.
 */
public final class HeartbeatProcessor {
  /** What becomes of a heartbeat. */
  public enum Result {
    /** Must not be answered with 200: nothing of it counts. */
    REFUSED,
    /** Accepted; nothing has changed by it. */
    UNCHANGED,
    /** Accepted; room on the worker may have become free. */
    CHANGED
  }

  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatProcessor.class);

  /** A task whose rest takes longer than this multiple of the spot notice is stopped at once. */
  private static final double MAX_REST_PER_NOTICE = 1.5;

  /** Part of the spot notice that a task gets to save its work; the rest is for the commands. */
  private static final double GRACE_PER_NOTICE = 0.8;

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final Reconciler reconciler;
  private final TaskOutcomes outcomes;
  private final WorkerCommands commands;
  private final ShardEvents events;

  /** Processes heartbeats of these workers in this term. */
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

  /** A heartbeat was received. */
  public Result process(Worker worker, Heartbeat heartbeat) {
    long now = context.nowMs();
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
    if (connection.order().isOutdated(heartbeat, now - connection.lastHeartbeatAtMs())) {
      // An answer of 200 would make this controller count a lease that the worker does not.
      return Result.REFUSED;
    }
    boolean changed = apply(worker, heartbeat);
    checkResponsiveness(worker, heartbeat.sequence(), now);
    connection.order().acceptHeartbeat(heartbeat.sequence());
    if (worker.reportUp()) {
      LOG.debug("machine {} is up after {} s", worker.id(), worker.ageMs(now) / 1000);
      events.workerUp(worker.id());
    }
    return changed ? Result.CHANGED : Result.UNCHANGED;
  }

  /** The commands in the answer to a heartbeat, which renews the worker's lease. */
  public List<WorkerCommand> answer(Worker worker) {
    worker.connection().renewLease(context.nowMs());
    if (!workers.mayReceiveCommands(worker)) {
      return List.of();
    }
    List<WorkerCommand> answered = commands.assembleFor(worker);
    for (WorkerCommand command : answered) {
      TaskAttempt attempt = worker.attempt(command.task());
      if (attempt != null && command instanceof WorkerCommand.Start) {
        attempt.awaitInHeartbeatAfter(worker.connection().order().sequence());
      }
    }
    return answered;
  }

  /**
   * Applies a heartbeat, or the one in the answer to a direct command.
   *
   * @return whether anything that matters to placement has changed by it
   */
  boolean apply(Worker worker, Heartbeat heartbeat) {
    long now = context.nowMs();
    HeartbeatOrder order = worker.connection().order();
    if (!order.isNewer(heartbeat)) {
      return false;
    }
    if (worker.isLeaseExpired() && order.isOfIncarnation(heartbeat)) {
      return false; // sent before its lease expired, and late
    }
    boolean changed = worker.isLeaseExpired();
    worker.connection().acceptMessage(heartbeat, now);
    if (heartbeat.spotNoticeS() >= 0) {
      applySpotNotice(worker, heartbeat.spotNoticeS());
    }
    if (!order.isOfIncarnation(heartbeat)) {
      changed = true;
      beginIncarnation(worker, heartbeat.incarnation(), now);
    }
    if (heartbeat.fencingToken() < term.firstToken()) {
      return false; // may still be given commands of an earlier term
    }
    if (!worker.isReconciled()) {
      workers.markReconciled(worker);
      changed = true;
      LOG.debug("worker {} is reconciled, {} tasks", worker.id(), heartbeat.tasks().size());
    }
    changed |= reconciler.reconcile(worker, heartbeat);
    if (!worker.empty()) {
      worker.markBusy(now);
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
    if (hadIncarnation) {
      LOG.atInfo()
          .addKeyValue("worker", worker.id())
          .addKeyValue("incarnation", incarnation)
          .log("worker begins a new incarnation");
      outcomes.workerLost(worker, "its lease ran out");
    }
    // An incarnation's lease runs from when it began, which may be just now, whichever controller
    // answered: what it is given by a direct command must not be taken for lost with the one
    // before.
    worker.connection().renewLease(nowMs);
  }

  /**
   * Finds out whether the worker receives answers. Its heartbeats prove nothing of that: where two
   * in a row lack what their answers started, it gets a higher token to show, and no more tasks
   * until it does. A worker reports again only once the answer before has come or been given up.
   */
  private void checkResponsiveness(Worker worker, long sequence, long nowMs) {
    boolean lacks = false;
    boolean shows = false;
    for (TaskAttempt attempt : worker.attempts()) {
      if (attempt.isAwaitedIn(sequence)) {
        lacks |= attempt.state() == TaskAttempt.State.STARTING;
        shows |= attempt.state() != TaskAttempt.State.STARTING;
        attempt.stopAwaiting();
      }
    }
    if (worker.isUnresponsive()) {
      if (worker.fencing().isRequiredTokenSeen()) {
        worker.connection().markResponsive();
        LOG.atInfo().addKeyValue("worker", worker.id()).log("worker is responsive again");
        events.requestPlacementPass();
      }
    } else if (shows) {
      worker.connection().markResponsive();
    } else if (lacks && worker.connection().countUnacknowledgedAnswer(nowMs)) {
      LOG.atWarn().addKeyValue("worker", worker.id()).log("worker is unresponsive");
    }
  }

  private void applySpotNotice(Worker worker, double noticeS) {
    long now = context.nowMs();
    worker.giveSpotNotice(now + Math.round(noticeS * 1000));
    if (!worker.isDraining()) {
      worker.drain("spot notice");
      LOG.atInfo()
          .addKeyValue("worker", worker.id())
          .addKeyValue("inS", noticeS)
          .log("spot notice");
    }
    for (TaskAttempt attempt : worker.copyOfAttempts()) {
      if (attempt.live()
          && !attempt.isStopping()
          && attempt.range() != null
          && attempt.range().spec() != null) {
        JobSpec spec = attempt.range().spec();
        double restS = attempt.remainingS(now, spec.estimateS());
        if (!attempt.hasRun() || restS > MAX_REST_PER_NOTICE * noticeS) {
          boolean saves = spec.hasCheckpoints() && spec.saveTimeS() < noticeS;
          commands.stop(
              attempt, saves ? Math.max(spec.saveTimeS(), noticeS * GRACE_PER_NOTICE) : 0);
        }
      }
    }
  }
}
