package org.fieldtrestle.worker;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.protocol.WorkerProtocol;
import org.fieldtrestle.transport.Http;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends workers at once what would otherwise wait for their next heartbeats. */
public final class DirectCommands {
  private static final Logger LOG = LoggerFactory.getLogger(DirectCommands.class);

  /** Heartbeat intervals within which a worker has to answer: the next heartbeat is then due. */
  private static final double TIMEOUT_INTERVALS = 0.8;

  private static final int OK = 200;

  /** The worker refuses the command, as its token or incarnation is not the current one. */
  private static final int CONFLICT = 409;

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final WorkerCommands commands;
  private final HeartbeatProcessor heartbeats;

  /** Sends what is pending in {@code commands}; answers are heartbeats and processed as such. */
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
    for (Iterator<Worker> pending = commands.pending(); pending.hasNext(); ) {
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
    // Clears are left for the answer to the next heartbeat, which is never executed late.
    List<WorkerProtocol.Command> toSend = new ArrayList<>(commands.assembleFor(worker));
    toSend.removeIf(command -> command instanceof WorkerProtocol.Clear);
    if (toSend.isEmpty()) {
      return;
    }
    worker.fencing().beginDirectCommand();
    context
        .caller()
        .call(
            worker.connection().address(),
            "POST",
            WorkerProtocol.COMMANDS,
            WorkerProtocol.commands(worker.fencingToken(), worker.incarnation(), toSend),
            context.heartbeatIntervalsMs(TIMEOUT_INTERVALS),
            outcome -> answered(worker, outcome));
  }

  private void answered(Worker worker, Http.Outcome outcome) {
    worker.fencing().endDirectCommand();
    if (outcome instanceof Http.NotSent || isProcessed(worker, outcome)) {
      return;
    }
    // The outcome is unknown: the command may be executed minutes later, as long as token and
    // incarnation match. A higher token ends that as soon as the worker has seen it.
    worker.fencing().raise();
    for (TaskAttempt attempt : worker.attempts()) {
      if (attempt.state() == TaskAttempt.State.STARTING && attempt.isStartSent()) {
        attempt.awaitInHeartbeatAfter(worker.connection().order().sequence());
      }
    }
  }

  /** Whether the worker has answered, so that the outcome of the command is known. */
  private boolean isProcessed(Worker worker, Http.Outcome outcome) {
    if (!(outcome instanceof Http.Answer answer)
        || (answer.status() != OK && answer.status() != CONFLICT)) {
      return false;
    }
    try {
      WorkerProtocol.Heartbeat heartbeat = WorkerProtocol.readHeartbeat(answer.body());
      if (!term.isOver()
          && workers.get(worker.id()) == worker
          && heartbeat.machine().equals(worker.id())) {
        heartbeats.apply(worker, heartbeat);
      }
      return true;
    } catch (Json.MalformedJsonException e) {
      LOG.atWarn()
          .addKeyValue("worker", worker.id())
          .addKeyValue("error", e.getMessage())
          .log("malformed answer to a command");
      return false;
    }
  }
}
