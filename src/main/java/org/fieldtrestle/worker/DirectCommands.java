package org.fieldtrestle.worker;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.Heartbeat;
import org.fieldtrestle.protocol.MalformedJsonException;
import org.fieldtrestle.protocol.WorkerCommand;
import org.fieldtrestle.protocol.WorkerProtocol;
import org.fieldtrestle.transport.Http;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends commands to workers at once instead of with the answers to their next heartbeats. */
public final class DirectCommands {
  private static final Logger LOG = LoggerFactory.getLogger(DirectCommands.class);

  /**
   * Heartbeat intervals within which a worker has to answer, because its next heartbeat is due
   * then.
   */
  private static final double TIMEOUT_INTERVALS = 0.8;

  private static final int OK = 200;

  /** The worker refuses the command because the fencing token or the incarnation is not current. */
  private static final int CONFLICT = 409;

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final WorkerCommands commands;
  private final HeartbeatProcessor heartbeats;

  /**
   * Creates a sender of the commands that are pending in {@code commands}. The answers are
   * processed as heartbeats.
   */
  public DirectCommands(
      ControllerContext context,
      LeadershipTerm term,
      WorkerRegistry workers,
      WorkerCommands commands,
      HeartbeatProcessor heartbeats) {
    this.context = context;
    this.term = term;
    this.workers = workers;
    this.commands = commands;
    this.heartbeats = heartbeats;
  }

  /** Sends all pending commands that may be sent now. */
  public void sendPending() {
    if (!term.isLeading()) {
      return;
    }
    for (Iterator<Worker> pending = commands.pendingWorkers(); pending.hasNext(); ) {
      Worker worker = pending.next();
      if (!CommandAssembler.hasUnsent(worker)) {
        pending.remove();
      } else if (mayBeSentTo(worker)) {
        send(worker);
      }
    }
  }

  private boolean mayBeSentTo(Worker worker) {
    return worker.hasNoCommandInFlight()
        && !worker.isTerminating()
        && !worker.isLeaseExpired()
        && worker.connection().order().hasIncarnation()
        && workers.mayReceiveCommands(worker);
  }

  private void send(Worker worker) {
    // Clear commands are left for the answer to the next heartbeat, which is never executed late.
    List<WorkerCommand> toSend = new ArrayList<>(commands.assembleFor(worker));
    toSend.removeIf(command -> command instanceof WorkerCommand.Clear);
    if (toSend.isEmpty()) {
      return;
    }
    worker.fencing().beginDirectCommand();
    long token = worker.fencingToken();
    long incarnation = worker.incarnation();
    context
        .caller()
        .call(
            worker.connection().address(),
            "POST",
            WorkerProtocol.COMMANDS_PATH,
            WorkerProtocol.writeCommands(token, incarnation, toSend),
            context.heartbeatIntervalsMs(TIMEOUT_INTERVALS),
            outcome -> {
              worker.fencing().endDirectCommand();
              if (!(outcome instanceof Http.NotSent)) {
                if (worker.incarnation() == incarnation) {
                  recordStarts(worker, toSend, token);
                }
                handleOutcome(worker, outcome);
              }
            });
  }

  /** Records the start commands, which the worker may execute again whatever it has answered. */
  private static void recordStarts(Worker worker, List<WorkerCommand> sent, long token) {
    for (WorkerCommand command : sent) {
      if (command instanceof WorkerCommand.Start) {
        worker.fencing().recordDirectStart(command.task(), command.attempt(), token);
      }
    }
  }

  private void handleOutcome(Worker worker, Http.Outcome outcome) {
    if (processAnswer(worker, outcome)) {
      return;
    }
    // The outcome is unknown: the command may be executed minutes later as long as its fencing
    // token and incarnation match. Once the worker has seen a higher token, it no longer executes
    // the command.
    worker.fencing().raise();
    for (TaskAttempt attempt : worker.attempts()) {
      if (attempt.state() == TaskAttempt.State.STARTING && attempt.isStartSent()) {
        attempt.expectReportAfter(worker.connection().order().sequence());
      }
    }
  }

  /**
   * Applies the worker's answer; returns whether the worker has answered, so that the outcome of
   * the command is known.
   */
  private boolean processAnswer(Worker worker, Http.Outcome outcome) {
    if (!(outcome instanceof Http.Answer answer)
        || (answer.status() != OK && answer.status() != CONFLICT)) {
      return false;
    }
    try {
      Heartbeat heartbeat = WorkerProtocol.readHeartbeat(answer.body());
      if (!term.isOver()
          && workers.get(worker.id()) == worker
          && heartbeat.machine().equals(worker.id())) {
        heartbeats.apply(worker, heartbeat);
      }
      return true;
    } catch (MalformedJsonException e) {
      LOG.atWarn()
          .addKeyValue("worker", worker.id())
          .addKeyValue("error", e.getMessage())
          .log("malformed answer to a command");
      return false;
    }
  }
}
